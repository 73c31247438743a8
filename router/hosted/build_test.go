package hosted_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/stand/memdb"
	"cicadastand.dev/stand/server"
)

// streamCount is the number of streams of a test: with two builds, and without a rule, about
// half of them would go on at the wrong one.
const streamCount = 16

// builds are the builds of the engines.
var builds = []string{"v1", "v2", "v1", "v2"}

// startBuilds starts engines of two builds. New streams break off after some events. An engine
// takes none of these again, nor, if onlyClients is set, streams that a client does not resume.
func (c *cluster) startBuilds(onlyClients bool) {
	for i, build := range builds {
		begun := make(map[string]bool)
		e := c.startEndpoint(fmt.Sprintf("i-%d", i), "engines", fmt.Sprintf("zone-%d", i%2), server.Config{Name: "m", Build: build, Events: 8})
		e.SetBehavior(func(r *http.Request) server.Behavior {
			id, resumes := r.Header.Get("X-Request-Id"), r.Header.Get("Resumes")
			switch {
			case r.Header.Get("Last-Event-Id") == "":
				begun[id] = true
				return server.BreakConnection
			case begun[resumes], begun[id], onlyClients && resumes == "":
				return server.Reject
			default:
				return server.Respond
			}
		})
	}
}

// buildsOf returns the builds at which requests ran, by request ID and in the order of the
// engines.
func (c *cluster) buildsOf() map[string][]string {
	out := make(map[string][]string)
	for i, build := range builds {
		for _, run := range c.servers[fmt.Sprintf("i-%d", i)].Runs() {
			out[run.ID] = append(out[run.ID], build)
		}
	}
	return out
}

// partsOf returns the parts of a prompt that no other stream shares.
func partsOf(id string) string { return fmt.Sprintf("aa%s:800,bb%s:200", id, id) }

// A stream breaks off, and engines of two builds could send the rest of the response.
func TestStreamIsRetriedOnlyAtTheBuildThatBeganIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.startBuilds(false)
	c.startServing()
	for n := range streamCount {
		got := c.sendPrompt(c.hosts[0], "POST", "/chat/", fmt.Sprint("r", n), "key", fmt.Sprint(n), partsOf(fmt.Sprint("r", n)))
		is.NoErr(got.err)
		is.Equal(strings.Count(got.body, "data: token"), 8)
	}
	for id, ran := range c.buildsOf() {
		if len(ran) != 2 || ran[0] != ran[1] {
			t.Errorf("stream %s has events of builds %v", id, ran)
		}
	}
}

// begin starts streams that break off, and returns the number of events of each.
func (c *cluster) begin(is *is.I, from int) map[string]int {
	out := make(map[string]int)
	for n := range streamCount {
		id := fmt.Sprint("begun-", from+n)
		got := c.sendPrompt(c.hosts[n%len(c.hosts)], "POST", "/chat/", id, "key", id, partsOf(id))
		is.True(got.err != nil || got.status == http.StatusBadGateway) // broken off, or not begun
		if events := strings.Count(got.body, "data: token"); events > 0 {
			out[id] = events
		}
	}
	return out
}

// resume sends the request of a client that resumes a stream.
func (c *cluster) resume(h host, id, begun string, events int) response {
	c.t.Helper()
	return c.sendHeader(h, "POST", "/chat/", id, "key", begun, partsOf(begun), map[string]string{"Last-Event-Id": strconv.Itoa(events), "Resumes": begun})
}

// checkResumed resumes streams at the hosts and checks that each goes on, and at its build.
func (c *cluster) checkResumed(is *is.I, begun map[string]int) {
	c.t.Helper()
	is.True(len(begun) > 0)
	n := 0
	for id, events := range begun {
		// Another host than the one that began the stream.
		h := c.hosts[(n+1)%len(c.hosts)]
		n++
		got := c.resume(h, "resumes-"+id, id, events)
		if got.err != nil || got.status != http.StatusOK {
			c.t.Errorf("stream %s is not resumed: %d %s %v", id, got.status, got.body, got.err)
			continue
		}
		is.Equal(strings.Count(got.body, "data: token"), 8-events)
		is.True(strings.HasPrefix(got.body, fmt.Sprintf("id: %d\n", events+1)))
	}
	ran := c.buildsOf()
	for id := range begun {
		if first, rest := ran[id], ran["resumes-"+id]; len(first) != 1 || len(rest) != 1 || first[0] != rest[0] {
			c.t.Errorf("stream %s has events of builds %v and %v", id, first, rest)
		}
	}
}

// A client resumes its stream at a host that has not seen it.
func TestClientResumesStreamAtTheBuildThatBeganIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startBuilds(true)
	c.startServing()
	c.checkResumed(is, c.begin(is, 0))
}

// restartHosts closes all hosts at once and starts others, which know nothing of before.
func (c *cluster) restartHosts() {
	for _, h := range c.hosts {
		h.Close()
	}
	c.hosts, c.restarted = nil, true
	c.startHosts()
	for _, h := range c.hosts {
		c.eventually("host is ready", func() bool { return c.isReady(h) })
	}
}

// All hosts lose power, and clients resume their streams.
func TestClientResumesStreamAtItsBuildAfterAllHostsWereRestarted(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.startBuilds(true)
	c.startServing()
	begun := c.begin(is, 0)
	c.restartHosts()
	c.checkResumed(is, begun)
}

// Streams begin while the store takes no records. Then all hosts lose power, and the store is
// back.
func TestClientResumesStreamAtItsBuildThatBeganWithoutTheStore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.revokeTime = 8 * time.Second
	c.startBuilds(true)
	c.startServing()
	for _, h := range c.hosts {
		c.eventually("host knows the base build", func() bool { return h.log.count("base build changed") > 0 })
	}
	begun := c.begin(is, 0)
	c.store.SetFault(func(string, string) memdb.Fault { return memdb.Reject })
	c.begin(is, 100) // streams in flight when the store fails
	for id, events := range c.begin(is, 200) {
		begun[id] = events
	}
	for _, h := range c.hosts {
		h.Close()
	}
	c.store.SetFault(nil)
	c.hosts, c.restarted = nil, true
	c.startHosts()
	for _, h := range c.hosts {
		c.eventually("host is ready", func() bool { return c.isReady(h) })
	}
	c.checkResumed(is, begun)
}

// A route divides its requests between two services. A client resumes its stream at the service
// that began it, and not at the one that its new request would go to.
func TestClientResumesStreamAtTheServiceThatBeganIt(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	for _, service := range []string{"engines", "others"} {
		e := c.startEndpoint(service+"-1", service, "zone-0", server.Config{Name: "m", Events: 8})
		e.SetBehavior(func(r *http.Request) server.Behavior {
			if r.Header.Get("Last-Event-Id") == "" {
				return server.BreakConnection
			}
			return server.Respond
		})
	}
	c.weights = map[string]int{"engines": 1, "others": 1}
	c.startServing()
	for id, events := range c.begin(is, 0) {
		is.Equal(c.resume(c.hosts[0], "resumes-"+id, id, events).status, http.StatusOK)
	}
	for _, service := range []string{"engines", "others"} {
		begun := make(map[string]bool)
		for _, run := range c.servers[service+"-1"].Runs() {
			begun[run.ID] = true
		}
		is.True(len(begun) > 0)
		for id := range begun {
			if first, ok := strings.CutPrefix(id, "resumes-"); ok && !begun[first] {
				t.Errorf("stream %s was resumed at service %s", first, service)
			}
		}
	}
}

// The store comes back from a copy that has neither the base build nor any origin. Then all hosts
// lose power.
func TestClientResumesStreamAtItsBuildAfterTheStoreWasRestored(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.revokeTime = 8 * time.Second
	c.startBuilds(true)
	c.putConfig(1, "key")
	before := c.store.Copy()
	c.startServing()
	for _, h := range c.hosts {
		c.eventually("host knows the base build", func() bool { return h.log.count("base build changed") > 0 })
	}
	begun := c.begin(is, 0)
	bases, origins := c.store.Records("keyed.cicada-bases"), c.store.Records("cicada-origins")
	is.True(bases > 0 && origins > 0)
	c.restoreStore(before, func() {
		c.putConfig(2, "key")
		for i := range builds {
			c.putEndpoint(fmt.Sprintf("i-%d", i), "engines", fmt.Sprintf("zone-%d", i%2), "ready", 2)
		}
	})
	c.eventually("store has the base build again", func() bool { return c.store.Records("keyed.cicada-bases") > 0 })
	c.eventually("store has origins of all hosts again", func() bool { return c.store.Records("cicada-origins") >= int64(len(c.hosts)) })
	c.restartHosts()
	c.checkResumed(is, begun)
}

// A host is killed while the store is away and comes back from a copy without the origins that this
// host has recorded. They were taken for streams of the base build, and went on at the wrong one.
func TestClientResumesStreamOfAKilledHostAtItsBuildAfterARestore(t *testing.T) {
	for name, lost := range map[string]int{"one host of three": 1, "two hosts of three": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 3)
			c.revokeTime = 8 * time.Second
			c.startBuilds(true)
			c.startServing()
			for _, h := range c.hosts {
				c.eventually("host knows the base build", func() bool { return h.log.count("base build changed") > 0 })
			}
			before := c.store.Copy()
			all := c.hosts
			c.hosts = all[:lost]
			begun := c.begin(is, 0)
			for _, h := range c.hosts {
				h.Close()
			}
			c.hosts = all[lost:]
			c.restoreStore(before, func() {
				c.putConfig(2, "key")
				for i := range builds {
					c.putEndpoint(fmt.Sprintf("i-%d", i), "engines", fmt.Sprintf("zone-%d", i%2), "ready", 2)
				}
			})
			c.checkResumed(is, begun)
		})
	}
}

// Only one host sets the base build at the start: hundreds would exceed the writes that the store
// takes.
func TestOneHostSetsTheBaseBuild(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	var writes atomic.Int64
	c.store.SetFault(func(method, topic string) memdb.Fault {
		if method == http.MethodPost && topic == "keyed.cicada-bases" {
			writes.Add(1)
		}
		return memdb.None
	})
	c.startBuilds(true)
	c.startServing()
	for _, h := range c.hosts {
		c.eventually("host knows the base build", func() bool { return h.log.count("base build changed") > 0 })
	}
	is.Equal(writes.Load(), int64(1))
}
