package hosted_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/stand/memdb"
	"cicadastand.dev/stand/server"
)

// endpointPaths are paths of each kind of request.
var endpointPaths = map[string]string{"/chat/": "engines", "/order/": "shop", "/lookup/": "shop"}

func (c *cluster) startTwo(service string) (first, second *server.Endpoint) {
	cfg := server.Config{}
	if service == "engines" {
		cfg = server.Config{Name: "m", Events: 2}
	}
	return c.startEndpoint("i-1", service, "zone-0", cfg), c.startEndpoint("i-2", service, "zone-0", cfg)
}

// An endpoint says in a response that it is leaving, while the store is away and its entry
// says that it is ready.
func TestEndpointThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	for path, service := range endpointPaths {
		t.Run(path[1:len(path)-1], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 1)
			c.revokeTime = time.Minute
			leaving, _ := c.startTwo(service)
			c.startServing()
			c.store.SetFault(func(string, string) memdb.Fault { return memdb.Reject })
			leaving.SetNotice("Server-Leaving", "1")
			sent := 0
			send := func() {
				sent++
				is.Equal(c.send(c.hosts[0], "POST", path, fmt.Sprint("r", sent), "key", fmt.Sprint(sent)).status, http.StatusOK)
			}
			c.eventually("it has said so", func() bool {
				send()
				return len(leaving.Runs()) == 1
			})
			for range 30 {
				send()
			}
			is.Equal(len(leaving.Runs()), 1)
			c.store.SetFault(nil)
			c.putEndpoint("i-1", service, "zone-0", "ready", 7)
			c.startEndpoint("i-3", service, "zone-0", server.Config{Name: "m", Events: 2}) // shows that the list is read
			c.eventually("list is read", func() bool {
				send()
				return c.hosts[0].log.count("change=added") == 3
			})
			is.Equal(len(leaving.Runs()), 1)
			is.Equal(c.hosts[0].log.count("endpoint said that it is leaving"), 1)
			// It starts again under its ID.
			leaving.SetNotice("Server-Leaving")
			entry := leaving.Entry(service, c.address["i-1"], "zone-0", "ready", 1)
			entry["born"] = time.Now().UnixMilli()
			c.put("keyed.servers", "i-1", entry)
			c.eventually("it is used again", func() bool {
				send()
				return len(leaving.Runs()) > 1
			})
		})
	}
}

// An endpoint rejects a request and asks for a wait. Requests go elsewhere, and come back
// little by little.
func TestEndpointThatAsksForAWaitGetsNothing(t *testing.T) {
	for path, service := range endpointPaths {
		t.Run(path[1:len(path)-1], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 1)
			c.revokeTime = 5 * time.Second
			busy, other := c.startTwo(service)
			reached := make(chan time.Time, 1000)
			busy.SetBehavior(func(*http.Request) server.Behavior {
				reached <- time.Now()
				return server.Reject
			})
			busy.SetNotice("Retry-After", "1.5")
			c.startServing()
			load := c.startLoad(c.hosts[0], "r", "POST", path, 10*time.Millisecond, 100)
			time.Sleep(4 * time.Second) // two waits
			statuses := load.end()
			t.Log(statuses)
			is.Equal(len(statuses), 1) // the other endpoint serves them
			is.True(statuses[http.StatusOK] > 0)
			close(reached)
			var last time.Time
			count, waits := 0, 0
			for at := range reached {
				if at.Sub(last) > time.Second {
					waits++
					count = 0
				}
				if count++; at.Sub(last) < 1400*time.Millisecond {
					is.True(at.Sub(last) < 100*time.Millisecond) // had been sent before the rejection
					is.True(waits == 1)                          // after a wait, one request at a time
				}
				last = at
			}
			is.True(waits >= 2 && waits <= 4)
			is.True(len(other.Runs()) > 100)
		})
	}
}

// If all endpoints ask for a wait, clients are told a time that is no shorter.
func TestClientsAreToldToWaitAsLongAsAllEndpoints(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	for id, wait := range map[string]string{"i-1": "9", "i-2": "30"} {
		e := c.startEndpoint(id, "shop", "zone-0", server.Config{})
		e.SetBehavior(func(*http.Request) server.Behavior { return server.Reject })
		e.SetNotice("Retry-After", wait)
	}
	c.startServing()
	for n := range 4 {
		got := c.send(c.hosts[0], "POST", "/order/", fmt.Sprint("r", n), "key", "x")
		is.Equal(got.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 7 && after <= 10) // the first of the two ends, and its extension
	}
}

// Values that can't be right change nothing.
func TestInvalidNoticesChangeNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	e := c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	e.SetNotice("Server-Leaving", "maybe")
	e.SetNotice("Server-Limit", "-4")
	c.startServing()
	for n := range 20 {
		is.Equal(c.send(c.hosts[0], "POST", "/order/", fmt.Sprint("r", n), "key", fmt.Sprint(n)).status, http.StatusOK)
	}
	e.SetNotice("Server-Limit", "1e300")
	is.Equal(c.send(c.hosts[0], "POST", "/order/", "last", "key", "last").status, http.StatusOK)
	is.Equal(c.hosts[0].log.count("ignored invalid header"), 2*21)
}
