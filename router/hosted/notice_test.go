package hosted_test

import (
	"fmt"
	"net/http"
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
