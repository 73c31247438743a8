package hosted_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"cicadastand.dev/stand/server"
)

// taintedPart is the part of prompts that crashes engines.
const taintedPart = "dd"

// crashing is a set of engines that crash on a part of prompts. After a crash, a new
// engine is listed in place of the old one.
type crashing struct {
	c *cluster
	// how is the behavior of the engines at a request with the part.
	how server.Behavior
	// isOrderly is set if the engines don't crash but leave: they say so some time before they end.
	isOrderly bool
	crashes   atomic.Int64

	mu      sync.Mutex
	started int
	closed  bool
	engines []*server.Endpoint
	stopped []*http.Server
}

// restartAfter is how long it takes until a new engine is in place of a crashed one.
const restartAfter = 250 * time.Millisecond

// drainTime is the time from an engine's entry that says that it leaves to its end.
const drainTime = time.Second

// engineProcess is one incarnation of an engine.
type engineProcess struct {
	set     *crashing
	id      string
	address string
	engine  *server.Endpoint
	http    *http.Server
	once    sync.Once
}

// start starts one engine and adds its entry to the store.
func (s *crashing) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for engine: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return l.Close()
	}
	s.started++
	p := &engineProcess{set: s, id: fmt.Sprint("i-", s.started), address: l.Addr().String()}
	e := server.New(server.Config{ID: p.id, Name: "m", Events: 2, Pause: 30 * time.Millisecond, Crash: p.crash})
	p.engine = e
	e.SetBehavior(func(r *http.Request) server.Behavior {
		if strings.Contains(r.Header.Get("X-Prompt-Prefix"), taintedPart+":") {
			return p.set.how
		}
		return server.Respond
	})
	p.http = &http.Server{Handler: e}
	s.engines, s.stopped = append(s.engines, e), append(s.stopped, p.http)
	go p.run(l)
	return p.list("ready", 1)
}

func (p *engineProcess) list(state string, sequence int) error {
	return p.set.c.store.Put("keyed.servers", p.id, p.engine.Entry("engines", p.address, "zone-0", state, sequence))
}

func (p *engineProcess) run(l net.Listener) { _ = p.http.Serve(l) }

// crash closes the listener and all connections of an engine. Its entry is removed as
// the new one is listed, since a crashed engine does not sign off.
func (p *engineProcess) crash() { p.once.Do(p.end) }

func (p *engineProcess) end() {
	p.set.crashes.Add(1)
	if p.set.isOrderly {
		_ = p.list("draining", 2)
		time.Sleep(drainTime) // hosts learn of it
	}
	_ = p.http.Close()
	time.AfterFunc(restartAfter, p.replace)
}

func (p *engineProcess) replace() {
	_ = p.set.c.store.Put("keyed.servers", p.id, nil)
	_ = p.set.start()
}

func (s *crashing) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, h := range s.stopped {
		_ = h.Close()
	}
}

// taintedRuns returns how often a request with the tainted part ran.
func (s *crashing) taintedRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			if strings.Contains(run.Header.Get("X-Prompt-Prefix"), taintedPart+":") {
				n++
			}
		}
	}
	return n
}

// startCrashing starts a number of engines that crash on the tainted part.
func (c *cluster) startCrashing(engines int, how server.Behavior) *crashing {
	c.t.Helper()
	s := &crashing{c: c, how: how}
	c.t.Cleanup(s.close)
	for range engines {
		if err := s.start(); err != nil {
			c.t.Fatal(err)
		}
	}
	return s
}

// soundLoad sends requests that share the account and the first part of the prompt with
// tainted ones.
type soundLoad struct {
	c    *cluster
	h    host
	name string
	stop chan struct{}
	done sync.WaitGroup
}

func (l *soundLoad) send(n int) response {
	id := fmt.Sprint("sound-", l.name, n)
	return l.c.sendPrompt(l.h, "POST", "/chat/", id, "key", id, fmt.Sprintf("aa:800,b%d:300,c%s%d:100", n%4, l.name, n))
}

func (l *soundLoad) run() {
	defer l.done.Done()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(5 * time.Millisecond): // the pace of the requests
			l.send(n)
		}
	}
}

// A part of a prompt crashes each engine that begins to write on it. Requests with that
// part come at all hosts, none like another; sound ones share the account and the first
// part with them. Only the requests with that part are rejected, after few crashes, also if
// the engines send the first event of each answer before they crash.
func TestPromptPartThatCrashesEnginesIsNotSentOn(t *testing.T) {
	for name, how := range map[string]server.Behavior{
		"before-the-first-event":  server.Crash,
		"after-the-first-event":   server.CrashInStream,
		"at-an-end-without-error": server.CrashUnframed,
		"with-a-rest-that-ends":   server.CrashInNewStream,
	} {
		t.Run(name, func(t *testing.T) { testPartIsNotSentOn(t, "/chat/", how) })
	}
}

// Engines crash on a part within a long answer without events, of which the client has got much.
func TestPartThatCrashesEnginesWithinLongAnswersIsNotSentOn(t *testing.T) {
	testPartIsNotSentOn(t, "/ask/", server.CrashInLongBody)
}

func testPartIsNotSentOn(t *testing.T, path string, how server.Behavior) {
	is := is.New(t)
	c := newCluster(t, 3)
	engines := c.startCrashing(12, how)
	c.startServing()
	for _, h := range c.hosts {
		c.eventually("host knows the others", func() bool { return h.log.count("host registered") >= len(c.hosts)-1 })
	}
	var loads []*soundLoad
	for i, h := range c.hosts {
		l := &soundLoad{c: c, h: h, name: fmt.Sprint(i), stop: make(chan struct{})}
		l.done.Add(1)
		go l.run()
		loads = append(loads, l)
	}
	tainted := func(n int) response {
		id := fmt.Sprint("tainted-", n)
		return c.sendPrompt(c.hosts[n%len(c.hosts)], "POST", path, id, "key", id, fmt.Sprintf("aa:800,%s:400,e%d:100", taintedPart, n))
	}
	const requests = 15
	for n := range requests {
		tainted(n)
		time.Sleep(100 * time.Millisecond) // the pace of the requests
	}
	t.Logf("%d crashes, %d runs", engines.crashes.Load(), engines.taintedRuns())
	is.True(engines.crashes.Load() <= 6) // three crashes, and what was on its way

	ran := engines.taintedRuns()
	for n := range 2 * len(c.hosts) {
		got := tainted(requests + n)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.header.Get("Retry-After"), "")
		is.True(strings.Contains(got.body, taintedPart))
	}
	is.Equal(engines.taintedRuns(), ran)
	for _, h := range c.hosts {
		is.Equal(h.log.count("prompt part is rejected"), 1) // no other part is
	}
	for _, l := range loads {
		close(l.stop)
		l.done.Wait()
	}
	const soundFrom = 10_000 // numbers that the load has not used
	for n := range 12 {
		is.Equal(loads[n%len(loads)].send(soundFrom+n).status, http.StatusOK)
	}
}

// The part that crashes engines is ahead of one that changes with each second request. It is
// found all the same, and requests for what was asked about with it are served.
func TestCrashingPartAheadOfChangingPartsIsFound(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	engines := c.startCrashing(12, server.Crash)
	c.startServing()
	for _, h := range c.hosts {
		c.eventually("host knows the others", func() bool { return h.log.count("host registered") >= len(c.hosts)-1 })
	}
	const requests, perThing = 16, 2
	prompt := func(n int, part string) string {
		return fmt.Sprintf("aa:800,%sf%d:400,e%d:100", part, n/perThing, n)
	}
	for n := range requests {
		id := fmt.Sprint("tainted-", n)
		c.sendPrompt(c.hosts[n%len(c.hosts)], "POST", "/chat/", id, "key", id, prompt(n, taintedPart+":400,"))
		time.Sleep(200 * time.Millisecond) // the pace of the requests
	}
	t.Logf("%d crashes", engines.crashes.Load())
	is.True(engines.crashes.Load() <= 6) // three of the first thing, two of the next, one on its way
	for n := range requests {
		id := fmt.Sprint("sound-", n)
		is.Equal(c.sendPrompt(c.hosts[n%len(c.hosts)], "POST", "/chat/", id, "key", id, prompt(n, "")).status, http.StatusOK)
	}
}

// A prompt has crashed two engines. Its next request crashes one more: the retry must not be
// sent while that crash is being confirmed, nor if the stream has begun.
func TestRetryIsNotSentBeforeItsCrashIsConfirmed(t *testing.T) {
	for name, how := range map[string]server.Behavior{"before-the-first-event": server.Crash, "after-the-first-event": server.CrashInStream} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1)
			engines := c.startCrashing(6, how)
			c.startServing()
			for n := range 2 {
				id := fmt.Sprint("tainted-", n)
				c.sendPrompt(c.hosts[0], "POST", "/chat/", id, "key", id, fmt.Sprintf("aa:800,%s:400,e%d:100", taintedPart, n))
			}
			is.Equal(engines.taintedRuns(), 3)
		})
	}
}

// Engines that break connections off before the first event, but accept new ones, have not
// crashed: no part of the prompts is rejected.
func TestBrokenConnectionsOfLiveEnginesRejectNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	var reached atomic.Int64
	for n := range 4 {
		id := fmt.Sprint("i-", n)
		c.startEndpoint(id, "engines", "zone-0", server.Config{Name: "m"})
		c.startRawServer(id, "engines", func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				reached.Add(1)
			}
		})
	}
	c.startServing()
	const requests = 8
	for n := range requests {
		id := fmt.Sprint("r", n)
		is.Equal(c.sendPrompt(c.hosts[0], "POST", "/chat/", id, "key", id, fmt.Sprintf("aa:800,ab:400,e%d:100", n)).status, http.StatusBadGateway)
	}
	is.True(reached.Load() >= requests)
	is.Equal(c.hosts[0].log.count("endpoint crashed"), 0)
	is.Equal(c.hosts[0].log.count("prompt part"), 0)
}

// All connections of a host to engines are reset, and new ones refused, while many prompts with one
// part wait for their first events. The engines have not crashed: no part is rejected, here or at
// the other hosts.
func TestHostThatIsCutOffBlamesNoPart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.link = newLink()
	for i := range 6 {
		c.startEndpoint(fmt.Sprint("engine-", i), "engines", "zone-0", server.Config{Name: "m", Events: 3, Pause: 300 * time.Millisecond})
	}
	c.startServing()
	var all sync.WaitGroup
	for n := range 18 {
		id := fmt.Sprint("r", n)
		all.Go(func() {
			c.sendPrompt(c.hosts[0], "POST", "/chat/", id, "key", id, fmt.Sprintf("a%d:800,ab:400,e%d:100", n, n))
		})
	}
	c.eventually("three engines have requests", func() bool {
		return lo.CountBy(lo.Values(c.servers), func(e *server.Endpoint) bool { return len(e.Runs()) > 0 }) >= 3
	})
	c.link.set(resets)
	all.Wait()
	for _, h := range c.hosts {
		is.Equal(h.log.count("endpoint crashed"), 0)
		is.Equal(h.log.count("prompt part is rejected"), 0)
	}
}

// Engines that leave end their last answers, and the processes end right after. The answers have
// neither a length nor chunks: their ends are no crashes.
func TestLastAnswersOfEnginesThatLeaveBlameNoPart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	engines := c.startCrashing(6, server.CrashUnframed)
	engines.isOrderly = true
	c.startServing()
	for n := range 6 {
		id := fmt.Sprint("r", n)
		got := c.sendPrompt(c.hosts[0], "POST", "/chat/", id, "key", id, fmt.Sprintf("aa:800,%s:400,e%d:100", taintedPart, n))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
	}
	is.Equal(engines.crashes.Load(), int64(6))
	is.Equal(c.hosts[0].log.count("prompt part is rejected"), 0)
}
