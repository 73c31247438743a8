package suite

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// metric returns the value of one of the metrics of a router.
func (c *cluster) metric(router, name string) (float64, error) {
	resp, err := c.http.Get("http://" + c.operators[router].String() + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fmt.Errorf("%s has no metric %s", router, name)
}

// TestNoAmplification checks the retry budget while every engine fails half of its
// calls: there are fewer than 1.1 attempts per request. Without the budget, retries would
// multiply the load on engines that fail. After the fault all requests complete again.
func TestNoAmplification(t *testing.T) {
	is := is.New(t)
	c, err := newCluster(t.TempDir(), clusterOptions{Engines: 3, Routers: 1, Domains: 1, Services: 1})
	is.NoErr(err)
	defer c.close()
	const requests, workers = 400, 8
	burst := func() map[string]int {
		var mu sync.Mutex
		states := make(map[string]int)
		var done sync.WaitGroup
		for w := range workers {
			done.Go(func() {
				for n := range requests / workers {
					resp := c.send(context.Background(), completionOptions{To: "r1", Account: "small", Prompt: fmt.Sprint(w, n), Tokens: 2})
					mu.Lock()
					states[resp.State]++
					mu.Unlock()
				}
			})
		}
		done.Wait()
		return states
	}
	for i := range 3 {
		is.NoErr(c.fault(fmt.Sprintf("e%d", i+1), `{"fail-share":0.5}`))
	}
	failing := burst()
	attempts, err := c.metric("r1", "cicada_engine_sends_total")
	is.NoErr(err)
	t.Logf("run states %v with %.0f attempts", failing, attempts)
	is.True(attempts < 1.1*requests)
	is.True(failing["completed"] > requests/3)
	for i := range 3 {
		is.NoErr(c.fault(fmt.Sprintf("e%d", i+1), `{"fail-share":0}`))
	}
	time.Sleep(500 * time.Millisecond)
	is.Equal(burst()["completed"], requests)
}

// TestOneEngineDown checks that all requests complete on the other engines after one
// engine was killed, and that it is live again after a restart.
func TestOneEngineDown(t *testing.T) {
	is := is.New(t)
	c, err := newCluster(t.TempDir(), clusterOptions{Engines: 3, Routers: 1, Domains: 1, Services: 1})
	is.NoErr(err)
	defer c.close()
	is.NoErr(c.kill("e2"))
	time.Sleep(time.Second)
	for n := range 60 {
		resp := c.send(context.Background(), completionOptions{To: "r1", Account: "small", Prompt: fmt.Sprint(n), Tokens: 2})
		is.Equal(resp.State, "completed")
	}
	is.NoErr(c.start("e2"))
	is.NoErr(c.eventually(10*time.Second, func() error {
		d, err := c.dump("r1")
		if err != nil || d.Endpoints["e2"].State != "live" {
			return fmt.Errorf("e2 is %s: %v", d.Endpoints["e2"].State, err)
		}
		return nil
	}))
}
