package suite

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestRollingRestart restarts all hosts one after another under load. A host that is
// down may refuse connections, since a load balancer in front of the hosts would not
// send requests to it. Each request that a host has accepted must complete.
func TestRollingRestart(t *testing.T) {
	c, err := newCluster(t.TempDir(), clusterOptions{Engines: 2, Routers: 3, Domains: 3, Services: 1, EngineArgs: []string{"-token-time", "5ms"}})
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	var stopped atomic.Bool
	var completed, refused atomic.Int64
	var senders sync.WaitGroup
	for id := range 8 {
		senders.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				o := completionOptions{To: fmt.Sprintf("r%d", n%3+1), Account: "small", Prompt: fmt.Sprintf("%d-%d", id, n), Tokens: 5 + n%40, Stream: n%2 == 0}
				var resp response
				if n%5 == 0 {
					resp = c.order(context.Background(), orderOptions{To: o.To, Account: "small", Service: "shop", Key: fmt.Sprintf("roll-%d-%d", id, n), Created: time.Now(), Body: "{}", FirstAttempt: true})
				} else {
					resp = c.send(context.Background(), o)
				}
				switch {
				case resp.State == "completed" && (n%5 == 0 || resp.Text == o.expected("v1")):
					completed.Add(1)
				case resp.State == "lost" && strings.Contains(resp.Body, "connection refused"):
					refused.Add(1)
					time.Sleep(5 * time.Millisecond)
				default:
					t.Errorf("%s at %s ended as %s: %s %s", o.Prompt, o.To, resp.State, resp.Code, resp.Body)
				}
			}
		})
	}
	for range 2 {
		for _, r := range c.routerNames() {
			time.Sleep(300 * time.Millisecond)
			if err := c.stop(r); err != nil {
				t.Errorf("stop %s: %v", r, err)
			}
			if err := c.start(r); err != nil {
				t.Fatal(err)
			}
			if err := c.eventually(10*time.Second, func() error { return c.configAtLeast(r, 3) }); err != nil {
				t.Fatal(err)
			}
		}
	}
	stopped.Store(true)
	senders.Wait()
	t.Logf("%d requests completed, %d connections refused", completed.Load(), refused.Load())
	if completed.Load() < 100 {
		t.Errorf("only %d requests completed, want at least 100", completed.Load())
	}
}
