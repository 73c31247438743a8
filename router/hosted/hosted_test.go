package hosted_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/stand/memdb"
	"cicadastand.dev/stand/server"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	shop := c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.startServing()
	got := c.send(c.hosts[0], "POST", "/order/../a%2Fb/?x=1&y=%20", "r1", "key", "two stools")
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.body, "answer of i-1 to two stools")
	is.Equal(got.header.Get("X-Response-Seal"), "seal-i-1")
	run := shop.Runs()[0]
	is.Equal(run.Path, "/order/../a%2Fb/?x=1&y=%20")
	is.Equal(run.Header.Get("X-Tenant"), "acme")
	is.Equal(run.Header.Get("Authorization"), "") // the API key is not forwarded
	is.Equal(run.Header.Get("X-Hold"), "")
	is.Equal(run.Header.Get("X-Expect-Instance"), "i-1")
	is.Equal(run.Header.Get("X-Cache-Salt"), "account-acme") // an isolated account shares no cached parts with others
}

func TestCacheSaltOfIsolatedAccounts(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	engine := c.startEndpoint("i-1", "engines", "zone-0", server.Config{Name: "m", Events: 1})
	c.startServing()
	is.Equal(c.send(c.hosts[0], "POST", "/chat/", "r1", "key", "x").status, 200)
	is.Equal(engine.Runs()[0].Header.Get("X-Cache-Salt"), "account-acme/v1")
}

// Engines don't check the weights version when they fetch or save cached parts. So a
// request must not run with the cache salt of another version, even if the host's copy
// of the endpoint's entry is outdated.
func TestCacheSaltMatchesWeightsVersion(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	changed := c.startEndpoint("i-1", "engines", "zone-0", server.Config{Name: "m", Events: 1})
	c.startEndpoint("i-2", "engines", "zone-0", server.Config{Name: "m", Events: 1})
	c.startServing()
	changed.SetVersion(2)
	for n := range 12 {
		is.Equal(c.send(c.hosts[0], "POST", "/chat/", fmt.Sprint("r", n), "key", "x").status, 200)
	}
	salted := 0
	for _, s := range c.servers {
		for _, run := range s.Runs() {
			salt, expectedVersion := run.Header.Get("X-Cache-Salt"), run.Header.Get("X-Expect-Version")
			_, version, hasVersion := strings.Cut(salt, "/v")
			is.Equal(expectedVersion, version) // the salt names the expected version, or neither is set
			if hasVersion {
				salted++
				is.Equal(version, fmt.Sprint(run.Version))
				continue
			}
			is.Equal(run.Header.Get("X-Kv-Fetch-From"), "")
			is.Equal(run.Header.Get("X-Kv-Save-To"), "")
		}
	}
	is.True(salted > 0)
}

func TestEngineWithUnknownWeightsServes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	engine := c.startEndpoint("i-1", "engines", "zone-0", server.Config{Name: "m", Events: 1})
	c.startServing()
	engine.SetVersion(2)
	is.Equal(c.send(c.hosts[0], "POST", "/chat/", "r1", "key", "x").status, 503) // the engine rejected the expected version, and there is no other engine
	is.Equal(c.send(c.hosts[0], "POST", "/chat/", "r2", "key", "x").status, 200)
	run := engine.Runs()[0]
	is.Equal(run.Header.Get("X-Expect-Version"), "")
	is.Equal(run.Header.Get("X-Cache-Salt"), "account-acme")
}

func TestSharedPrefixIsSavedOnceThenFetched(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	for _, id := range []string{"i-1", "i-2"} {
		c.startEndpoint(id, "engines", "zone-0", server.Config{Name: "m", Events: 1})
	}
	c.startServing()
	is.Equal(c.send(c.hosts[0], "POST", "/chat/", "r1", "key", "x").status, 200)
	first, second := c.servers["i-1"], c.servers["i-2"]
	if len(first.Runs()) == 0 {
		first, second = second, first
	}
	is.Equal(first.Runs()[0].Header.Get("X-Kv-Save-To"), "127.0.0.1:9")
	first.SetBehavior(func(*http.Request) server.Behavior { return server.Reject })
	is.Equal(c.send(c.hosts[0], "POST", "/chat/", "r2", "key", "x").status, 200)
	run := second.Runs()[0]
	is.Equal(run.Header.Get("X-Kv-Fetch-From"), "127.0.0.1:9") // the engine that has the prefix cached is full
	is.Equal(run.Header.Get("X-Kv-Save-To"), "")
}

// Without a configuration a host can't tell valid API keys and routes from invalid ones.
// It must respond 503 then, not 401 or 404.
func TestRequestsWithoutConfigurationGet503(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.startHosts()
	is.True(!c.isReady(c.hosts[0]))
	is.Equal(c.send(c.hosts[0], "GET", "/lookup/", "r1", "key", "").status, 503)
	c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.startServing()
	is.Equal(c.send(c.hosts[0], "GET", "/lookup/", "r2", "wrong", "").status, 401)
	is.Equal(c.send(c.hosts[0], "GET", "/nowhere/", "r3", "key", "").status, 404)
	is.Equal(c.send(c.hosts[0], "POST", "/order/", "r4", "key", strings.Repeat("x", 1001)).status, 413)
}

func TestNonIdempotentCallRunsAtMostOnce(t *testing.T) {
	for behavior, want := range map[server.Behavior]int{server.BreakConnection: 502, server.OmitSeal: 502, server.RejectUnmarked: 502, server.Fail: 500} {
		t.Run(fmt.Sprint(behavior), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1)
			runs := 0
			for _, id := range []string{"i-1", "i-2"} {
				c.startEndpoint(id, "shop", "zone-0", server.Config{}).SetBehavior(func(*http.Request) server.Behavior { return behavior })
			}
			c.startServing()
			got := c.send(c.hosts[0], "POST", "/order/", "r1", "key", "x")
			is.Equal(got.status, want)
			is.Equal(got.header.Get("X-Response-Seal") != "", behavior == server.Fail)
			for _, s := range c.servers {
				runs += len(s.Runs())
			}
			is.Equal(runs, 1)
		})
	}
}

func TestRejectedNonIdempotentCallIsSentElsewhere(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	full := func(*http.Request) server.Behavior { return server.Reject }
	c.startEndpoint("i-1", "shop", "zone-0", server.Config{}).SetBehavior(full)
	c.startEndpoint("i-2", "shop", "zone-0", server.Config{})
	c.startServing()
	for n := range 4 {
		is.Equal(c.send(c.hosts[0], "POST", "/order/", fmt.Sprint("r", n), "key", fmt.Sprint(n)).status, 200)
	}
	is.Equal(len(c.servers["i-1"].Runs()), 0)
	c.servers["i-2"].SetBehavior(full)
	got := c.send(c.hosts[0], "POST", "/order/", "r9", "key", "x")
	is.Equal(got.status, 503) // both endpoints rejected the call
	is.True(got.header.Get("Retry-After") != "")
}

func TestFailedIdempotentCallIsRetriedElsewhere(t *testing.T) {
	for _, behavior := range []server.Behavior{server.Fail, server.BreakConnection, server.OmitSeal} {
		is := is.New(t)
		c := newCluster(t, 1)
		c.startEndpoint("i-1", "shop", "zone-0", server.Config{}).SetBehavior(func(*http.Request) server.Behavior { return behavior })
		c.startEndpoint("i-2", "shop", "zone-0", server.Config{})
		c.startServing()
		for n := range 3 {
			is.Equal(c.send(c.hosts[0], "GET", fmt.Sprint("/lookup/", n), fmt.Sprint("r", n), "key", "").status, 200)
		}
	}
}

func TestRequestThatMayHaveRunIsNotAnswered503(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	shop := c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	shop.SetBehavior(func(*http.Request) server.Behavior { return server.BreakConnection })
	c.startServing()
	got := c.send(c.hosts[0], "GET", "/lookup/", "r1", "key", "") // no other endpoint is left for a retry
	is.Equal(len(shop.Runs()), 1)
	is.Equal(got.status, http.StatusBadGateway)
}

func TestBrokenStreamIsResumedAtAnotherEngine(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	engine := server.Config{Name: "m", Events: 6}
	broken := false
	behavior := func(*http.Request) server.Behavior {
		if broken {
			return server.Respond
		}
		broken = true
		return server.BreakConnection
	}
	c.startEndpoint("i-1", "engines", "zone-0", engine).SetBehavior(behavior)
	c.startEndpoint("i-2", "engines", "zone-0", engine).SetBehavior(behavior)
	c.startServing()
	got := c.send(c.hosts[0], "POST", "/chat/", "r1", "key", "hello")
	is.NoErr(got.err)
	want := ""
	for id := 1; id <= 6; id++ {
		want += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
	}
	is.Equal(got.body, want)
	is.Equal(len(c.servers["i-1"].Runs())+len(c.servers["i-2"].Runs()), 2)
}

func TestUnresumableStreamIsNotEndedCleanly(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.startEndpoint("i-1", "engines", "zone-0", server.Config{Name: "m", Events: 6}).SetBehavior(func(*http.Request) server.Behavior { return server.BreakConnection })
	c.startServing()
	got := c.send(c.hosts[0], "POST", "/chat/", "r1", "key", "hello")
	is.True(got.err != nil)
	is.True(strings.HasPrefix(got.body, "id: 1\n"))
}

func TestClientDisconnectCancelsEngineRequest(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	ended := make(chan struct{})
	c.startEndpoint("i-1", "engines", "zone-0", server.Config{Name: "m", Events: 1000, Pause: 10 * time.Millisecond}).SetBehavior(func(req *http.Request) server.Behavior {
		context.AfterFunc(req.Context(), func() { close(ended) })
		return server.Respond
	})
	c.startServing()
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", c.hosts[0].url+"/chat/", strings.NewReader("x"))
	is.NoErr(err)
	req.Host = "a.example"
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("X-Request-Id", "r1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	cancel()
	_ = resp.Body.Close()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond): // the bound that the platform requires
		t.Fatal("the engine's request was not cancelled within 500 ms of the client's disconnect")
	}
}

// A host that can't read the store does not learn that a key was revoked. It must reject
// all keys once its newest read of the configuration is older than the revoke time.
func TestRevokedKeyIsRejectedWithinRevokeTime(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.startServing()
	is.Equal(c.send(c.hosts[0], "GET", "/lookup/", "r1", "key", "").status, 200)
	c.store.SetFault(func(string, string) memdb.Fault { return memdb.Reject })
	c.putConfig(2, "other")
	revoked := time.Now()
	c.eventually("key is rejected", func() bool {
		sent := time.Now()
		got := c.send(c.hosts[0], "GET", "/lookup/", "r", "key", "")
		if got.status == 200 {
			is.True(sent.Sub(revoked) < revokeTime)
		}
		return got.status == 503
	})
	is.True(!c.isReady(c.hosts[0]))
	c.store.SetFault(nil)
	c.eventually("new key is accepted", func() bool {
		return c.send(c.hosts[0], "GET", "/lookup/", "r", "other", "").status == 200
	})
	is.Equal(c.send(c.hosts[0], "GET", "/lookup/", "r", "key", "").status, 401)
}

// The store may drop old records of a topic and keep only the newest of each key. A host
// that has not read the dropped records must still learn of the newest configuration.
func TestTruncatedStoreHistoryLosesNoRecords(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.startServing()
	c.putConfig(2, "other")
	c.store.Trim("keyed.op")
	c.store.Trim("keyed.servers")
	c.eventually("new key is accepted", func() bool {
		return c.send(c.hosts[0], "GET", "/lookup/", "r", "other", "").status == 200
	})
	is.True(c.isReady(c.hosts[0]))
}

func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.startEndpoint("i-2", "shop", "zone-0", server.Config{})
	c.startServing()
	c.putEndpoint("i-1", "shop", "zone-0", "draining", 2)
	time.Sleep(2 * time.Second) // the drain time, in which the endpoint may still be used
	before := len(c.servers["i-1"].Runs())
	for n := range 6 {
		is.Equal(c.send(c.hosts[0], "GET", fmt.Sprint("/lookup/", n), fmt.Sprint("r", n), "key", "").status, 200)
	}
	is.Equal(len(c.servers["i-1"].Runs()), before)
}

func TestOneLeaseHolderUpdatesWeightsOfAllEngines(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	for n := range 5 {
		c.startEndpoint(fmt.Sprint("i-", n), "engines", "zone-0", server.Config{Name: "m", Events: 1})
	}
	c.startServing()
	for version := 2; version <= 4; version++ {
		c.put("keyed.op", "version/m", map[string]any{"model": "m", "version": version})
		c.eventually("all engines have the version", func() bool {
			for id, s := range c.servers {
				c.putEndpoint(id, "engines", "zone-0", "ready", version)
				if s.Version() != version {
					return false
				}
			}
			return true
		})
	}
	holders := make(map[string]string)
	for _, s := range c.servers {
		for _, h := range s.Holders() {
			name, token, _ := strings.Cut(h, " ")
			if holders[token] == "" {
				holders[token] = name
			}
			is.Equal(holders[token], name) // each fencing token belongs to one host
		}
	}
}

func TestGracefulStopCompletesRunningStream(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.startEndpoint("i-1", "engines", "zone-0", server.Config{Name: "m", Events: 20, Pause: 50 * time.Millisecond})
	c.startServing()
	done := make(chan response, 1)
	go func() { done <- c.send(c.hosts[0], "POST", "/chat/", "r1", "key", "x") }()
	c.eventually("the stream has started", func() bool { return len(c.servers["i-1"].Runs()) == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- c.hosts[0].Stop(context.Background()) }()
	got := <-done
	is.NoErr(got.err)
	is.True(strings.Contains(got.body, "id: 20\n"))
	is.NoErr(<-stopped)
}
