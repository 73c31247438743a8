package hosted_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"cicadastand.dev/stand/server"
)

// pacedLoad sends requests to one host at a pace, without waiting for their responses.
type pacedLoad struct {
	c    *cluster
	h    host
	name string
	// path and method are those of the requests.
	method, path string
	interval     time.Duration
	// own is the number of tokens that only one prompt has.
	own int

	stop     chan struct{}
	done     sync.WaitGroup
	mu       sync.Mutex
	statuses map[int]int
}

func (c *cluster) startLoad(h host, name, method, path string, interval time.Duration, own int) *pacedLoad {
	l := &pacedLoad{c: c, h: h, name: name, method: method, path: path, interval: interval, own: own, stop: make(chan struct{}), statuses: make(map[int]int)}
	l.done.Add(1)
	go l.run()
	return l
}

func (l *pacedLoad) run() {
	defer l.done.Done()
	tick := time.NewTicker(l.interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-tick.C:
			l.done.Add(1)
			go l.loop(n)
		}
	}
}

// loop sends one request.
func (l *pacedLoad) loop(n int) {
	defer l.done.Done()
	id := fmt.Sprint(l.name, "-", n)
	got := l.c.sendPrompt(l.h, l.method, l.path, id, "key", "", fmt.Sprintf("aa:100,b%d:100,c%s%d:%d", n%8, l.name, n, l.own))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[got.status]++
}

// end stops the load and returns how many requests ended with each status.
func (l *pacedLoad) end() map[int]int {
	close(l.stop)
	l.done.Wait()
	return l.statuses
}

// mostRuns returns the highest number of runs of an endpoint in a span of time, of those
// that started after from.
func mostRuns(e *server.Endpoint, from time.Time, span time.Duration) int {
	var times []time.Time
	for _, run := range e.Runs() {
		if run.At.After(from) {
			times = append(times, run.At)
		}
	}
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Most endpoints of a service name a limit far below what they get, over several hosts.
func TestEndpointsGetNoMoreThanTheirRequestLimit(t *testing.T) {
	for path, service := range map[string]string{"/chat/": "engines", "/order/": "shop"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3)
			c.revokeTime = 5 * time.Second // not reached while the hosts find out which one reads the store
			const limit = 4                // requests per second
			cfg := server.Config{}
			if service == "engines" {
				cfg = server.Config{Name: "m", Events: 1}
			}
			limited := []string{"i-1", "i-2", "i-3"}
			for _, id := range append([]string{"i-4"}, limited...) {
				c.startEndpoint(id, service, "zone-0", cfg)
			}
			c.startServing()
			for _, h := range c.hosts {
				c.eventually("host knows the others", func() bool { return h.log.count("host registered") >= len(c.hosts)-1 })
			}
			var loads []*pacedLoad
			for i, h := range c.hosts {
				loads = append(loads, c.startLoad(h, fmt.Sprint(service, i), "POST", path, time.Duration(15+10*i)*time.Millisecond, 100))
			}
			time.Sleep(500 * time.Millisecond) // the load before the limit
			for _, id := range limited {
				c.servers[id].SetNotice("Server-Limit", fmt.Sprint(limit))
			}
			told := time.Now().Add(time.Second)
			time.Sleep(6 * time.Second) // the span of the rule, and some more
			statuses := make(map[int]int)
			for _, l := range loads {
				for status, n := range l.end() {
					statuses[status] += n
				}
			}
			t.Log(statuses)
			is.Equal(len(statuses), 1) // the fourth endpoint serves the rest
			is.True(statuses[http.StatusOK] > 0)
			total := 0
			for _, id := range limited {
				most := mostRuns(c.servers[id], told, 4*time.Second)
				t.Log(id, most, "in 4 s")
				is.True(most <= 1.5*limit*4+5)
				total += most
			}
			is.True(total >= len(limited)*limit*4/2) // the limits are made use of
		})
	}
}

// A limit counts requests whatever their length. If short prompts take most of it, the
// endpoints without a limit get most of the long ones.
func TestLongPromptsComeFirstAtEndpointsWithALimit(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	const limited, long = "i-1", 8000
	for _, id := range []string{limited, "i-2", "i-3"} {
		c.startEndpoint(id, "engines", "zone-0", server.Config{Name: "m", Events: 1, Pause: 60 * time.Millisecond})
	}
	c.servers[limited].SetNotice("Server-Limit", "10")
	c.startServing()
	short := c.startLoad(c.hosts[0], "short", "POST", "/chat/", 12*time.Millisecond, 100)
	longs := c.startLoad(c.hosts[0], "long", "POST", "/chat/", 50*time.Millisecond, long)
	time.Sleep(4 * time.Second) // some tens of permits
	short.end()
	longs.end()
	runs := c.servers[limited].Runs()
	withLong := lo.CountBy(runs, func(r server.Run) bool {
		return strings.HasSuffix(r.Header.Get("X-Prompt-Prefix"), fmt.Sprint(":", long))
	})
	t.Log(len(runs), "runs,", withLong, "of them with long prompts")
	is.True(len(runs) >= 20)
	is.True(2*withLong > len(runs)) // one request in five has a long prompt
}
