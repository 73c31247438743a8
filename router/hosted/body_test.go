package hosted_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/stand/server"
)

func always(b server.Behavior) func(*http.Request) server.Behavior {
	return func(*http.Request) server.Behavior { return b }
}

// open sends an order and returns its response, of which only the header was read.
func (c *cluster) open(path string) *http.Response {
	c.t.Helper()
	req, err := http.NewRequest("POST", c.hosts[0].url, strings.NewReader("x"))
	if err != nil {
		c.t.Fatal(err)
	}
	req.URL.Opaque, req.Host = path, "a.example"
	req.Header.Set("X-Request-Id", "r1")
	req.Header.Set("X-Deadline-Ms", "20000")
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// A long response passes whole, and the router does not hold it while the client reads.
func TestLongResponsePassesWhole(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	shop := c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	shop.SetBehavior(always(server.SendLongBody))
	c.startServing()
	resp := c.open("/order/")
	is.Equal(resp.StatusCode, 200)
	is.Equal(resp.ContentLength, int64(server.LongBody))
	time.Sleep(300 * time.Millisecond) // the client does not read; the sockets fill
	const buffered = 16 << 20          // by the four sockets on the way
	is.True(shop.Written() < buffered)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(body), server.LongBody)
	is.Equal(strings.Count(string(body), "0123456789abcdef"), server.LongBody/16)
}

// A long body that is cut, or that never ends, must not look complete.
func TestIncompleteLongResponseIsBrokenOff(t *testing.T) {
	for name, behavior := range map[string]server.Behavior{"cut": server.BreakLongBody, "endless": server.SendEndlessBody} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1)
			shop := c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
			shop.SetBehavior(always(behavior))
			c.startServing()
			_, err := io.Copy(io.Discard, c.open("/order/").Body)
			is.True(err != nil)
			is.Equal(len(shop.Runs()), 1)
			const bound = 300 << 20
			is.True(shop.Written() < bound)
		})
	}
}

// One event without end is not held in memory, and the stream goes on at another engine.
func TestEndlessEventIsBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	faulty := c.startEndpoint("i-1", "engines", "zone-0", server.Config{Name: "m"})
	faulty.SetBehavior(always(server.SendEndlessBody))
	c.startEndpoint("i-2", "engines", "zone-0", server.Config{Name: "m", Events: 3})
	c.startServing()
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		got := c.send(c.hosts[0], "POST", "/chat/", id, "key", id)
		is.Equal(got.status, 200)
		is.Equal(strings.Count(got.body, "data: token"), 3)
	}
	const bound = 16 << 20 // for each run, sockets included
	is.True(len(faulty.Runs()) > 0)
	is.True(faulty.Written() < bound*len(faulty.Runs()))
}
