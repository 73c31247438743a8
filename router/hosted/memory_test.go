package hosted_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/stand/server"
)

// A request that was sent to an engine without memory for it had the one that ran there
// preempted. It must wait in the host, and be rejected with a retry time before it can't meet
// its target, while small requests are served.
func TestRequestThatNoEngineHasMemoryForIsNotSent(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	engine := c.startEndpoint("i-1", "engines", "zone-0", server.Config{Name: "m", Events: 20, Pause: 100 * time.Millisecond})
	c.startServing()
	h := c.hosts[0]
	first := make(chan response)
	go func() { first <- c.sendPrompt(h, "POST", "/chat/", "first", "key", "a", "aa:1000,bb:79000") }()
	c.eventually("first request runs", func() bool { return len(engine.Runs()) == 1 })
	var got response
	c.eventually("second request waits", func() bool {
		before := time.Now()
		got = c.sendPrompt(h, "POST", "/chat/", "second", "key", "b", "cc:1000,dd:24000")
		return time.Since(before) >= 50*time.Millisecond
	})
	is.Equal(got.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= 0.1 && after < 1)
	is.Equal(len(engine.Runs()), 1)
	small := make(chan response)
	go func() { small <- c.sendPrompt(h, "POST", "/chat/", "small", "key", "c", "ee:1000,ff:1000") }()
	c.eventually("small request runs", func() bool { return len(engine.Runs()) == 2 })
	is.Equal((<-first).status, http.StatusOK)
	is.Equal((<-small).status, http.StatusOK)
	is.Equal(c.sendPrompt(h, "POST", "/chat/", "third", "key", "b", "cc:1000,dd:24000").status, http.StatusOK)
}
