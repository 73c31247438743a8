package hosted_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/stand/server"
)

// walls publishes configurations in which accounts are isolated or not, and sends requests
// of all accounts under each of them.
type walls struct {
	c       *cluster
	engines []*server.Endpoint
	version int
	sent    int
	// isolated and hasKey say which accounts are isolated, and which have an API key.
	isolated, hasKey map[string]bool
	// makers holds the accounts whose requests have used each cache salt.
	makers map[string]map[string]bool
	seen   int
}

var wallAccounts = []string{"acme", "bolt", "cobalt"}

func newWalls(t *testing.T, hosts int) *walls {
	w := &walls{c: newCluster(t, hosts), isolated: make(map[string]bool), hasKey: make(map[string]bool), makers: make(map[string]map[string]bool)}
	for n := range 2 {
		w.engines = append(w.engines, w.c.startEndpoint(fmt.Sprint("i-", n), "engines", "zone-0", server.Config{Name: "m", Events: 1}))
	}
	for _, name := range wallAccounts {
		w.hasKey[name] = true
	}
	return w
}

// publish publishes the accounts as they are now.
func (w *walls) publish() {
	w.version++
	var tenants []map[string]any
	for _, name := range wallAccounts {
		keys := []string{}
		if w.hasKey[name] {
			keys = append(keys, "key-"+name)
		}
		tenants = append(tenants, map[string]any{"name": name, "api_keys": keys, "isolated": w.isolated[name]})
	}
	w.c.putTenants(w.version, tenants...)
}

// awaitConfig waits until all hosts use the newest configuration.
func (w *walls) awaitConfig() {
	for _, h := range w.c.hosts {
		w.c.eventually("host has the configuration", func() bool {
			return h.log.count(fmt.Sprintf("configuration updated: version=%d ", w.version)) > 0
		})
	}
}

// check sends requests of all accounts with the same prompt at all hosts, and fails if one is
// sent with a cache salt under which an account has made parts that it must not use.
func (w *walls) check(is *is.I) {
	is.Helper()
	for _, h := range w.c.hosts {
		for _, name := range wallAccounts {
			if !w.hasKey[name] {
				continue
			}
			w.sent++
			is.Equal(w.c.send(h, "POST", "/chat/", fmt.Sprint("r", w.sent), "key-"+name, "x").status, 200)
		}
	}
	for _, e := range w.engines {
		for _, run := range e.Runs() {
			name, salt := run.Header.Get("X-Tenant"), run.Header.Get("X-Cache-Salt")
			if w.makers[salt] == nil {
				w.makers[salt] = make(map[string]bool)
			}
			w.makers[salt][name] = true
		}
	}
	// Only the salts of the last requests count: others may stay in caches unused.
	for _, e := range w.engines {
		for _, run := range e.Runs() {
			var n int
			if _, err := fmt.Sscanf(run.Header.Get("X-Request-Id"), "r%d", &n); err != nil || n <= w.seen {
				continue
			}
			name, salt := run.Header.Get("X-Tenant"), run.Header.Get("X-Cache-Salt")
			for maker := range w.makers[salt] {
				if maker != name && (w.isolated[maker] || w.isolated[name]) {
					is.Fail() // a request uses parts across an isolated account's wall
				}
			}
		}
	}
	w.seen = w.sent
}

// An account becomes isolated: the parts that its requests have made before are no longer
// used by the requests of others.
func TestPartsOfAnAccountThatBecomesIsolatedAreNotUsedByOthers(t *testing.T) {
	is := is.New(t)
	w := newWalls(t, 2)
	w.publish()
	w.c.startHosts()
	w.awaitConfig()
	w.check(is)
	is.Equal(len(w.makers), 1) // all share parts
	w.isolated["acme"] = true
	w.publish()
	w.awaitConfig()
	w.check(is)
}

// Accounts become isolated and shared, lose and get back their keys, and hosts are restarted,
// in any order.
func TestWallsHoldOverChangesAndRestarts(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			w := newWalls(t, 2)
			w.publish()
			w.c.startHosts()
			w.awaitConfig()
			w.check(is)
			for range 8 {
				name := wallAccounts[rnd.IntN(len(wallAccounts))]
				switch rnd.IntN(4) {
				case 0:
					w.hasKey[name] = !w.hasKey[name]
				case 1:
					w.c.restartHosts()
				default:
					w.isolated[name] = !w.isolated[name]
				}
				w.publish()
				w.awaitConfig()
				w.check(is)
			}
		})
	}
}
