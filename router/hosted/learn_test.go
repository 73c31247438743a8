package hosted_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/stand/server"
)

// One endpoint of a service handles calls one after the other, 30 ms each. Both hosts find out,
// the second one from the first, which receives most of the calls.
func TestHostsLearnThatAnEndpointIsSlow(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	for i := range 3 {
		c.startEndpoint(fmt.Sprintf("s-%d", i), "shop", fmt.Sprintf("zone-%d", i%2), server.Config{})
	}
	c.servers["s-2"].SetBehavior(func(*http.Request) server.Behavior {
		time.Sleep(30 * time.Millisecond)
		return server.Respond
	})
	c.startServing()
	var stop atomic.Bool
	var sent atomic.Int64
	for range 6 {
		go func() {
			for !stop.Load() {
				n := sent.Add(1)
				at := 0
				if n%8 == 0 {
					at = 1
				}
				c.send(c.hosts[at], http.MethodGet, "/lookup/x", fmt.Sprint("l", n), "key", "")
				time.Sleep(5 * time.Millisecond) // limits the load on the machine
			}
		}()
	}
	defer stop.Store(true)
	for _, h := range c.hosts {
		c.eventually("the slow endpoint is found", func() bool { return h.log.count("learned capacity of endpoint changed: service=shop endpoint=s-2") > 0 })
	}
	before, all := len(c.servers["s-2"].Runs()), sent.Load()
	time.Sleep(time.Second)
	share := float64(len(c.servers["s-2"].Runs())-before) / float64(sent.Load()-all)
	t.Logf("the slow endpoint gets %.2f of the calls", share)
	is.True(share < 0.25) // a third, if all count as equal
}
