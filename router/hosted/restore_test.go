package hosted_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/stand/memdb"
	"cicadastand.dev/stand/server"
)

// outage is how long the store is away before it is back from a copy.
const outage = 500 * time.Millisecond

// restoreStore makes the store unavailable for a moment and restores it from a copy. The
// operator and the endpoints write again before any host can read.
func (c *cluster) restoreStore(from memdb.Copy, writeAgain func()) {
	c.t.Helper()
	c.store.SetFault(func(string, string) memdb.Fault { return memdb.Reject })
	time.Sleep(outage) // the drill
	c.store.Restore(from)
	writeAgain()
	c.store.SetFault(nil)
}

// serves reports whether all hosts answer a request with a key with 200.
func (c *cluster) serves(key string) bool {
	for _, h := range c.hosts {
		if c.send(h, "GET", "/lookup/", "r", key, "").status != http.StatusOK {
			return false
		}
	}
	return true
}

// The store comes back without the newest records, and with fewer than hosts have read.
func TestRequestsAreServedAfterTheStoreIsRestored(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.revokeTime = 4 * time.Second
	c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.startServing()
	before := c.store.Copy()
	c.putConfig(2, "key", "second")
	c.putConfig(3, "key", "third")
	c.eventually("third key is accepted", func() bool { return c.serves("third") })
	c.restoreStore(before, func() { c.putConfig(3, "key", "third") })
	for until := time.Now().Add(c.revokeTime + time.Second); time.Now().Before(until); {
		is.True(c.serves("key"))
		time.Sleep(20 * time.Millisecond) // the pace of the requests
	}
	for _, h := range c.hosts {
		is.Equal(c.send(h, "GET", "/lookup/", "r", "second", "").status, http.StatusUnauthorized)
	}
	c.putConfig(4, "fourth")
	changed := time.Now()
	c.eventually("fourth key is accepted", func() bool { return c.serves("fourth") })
	is.True(time.Since(changed) < 2*time.Second) // the bound of the platform
}

// After a restore the log grows past the offset that hosts have read, with other records.
func TestRecordsAtReusedOffsetsAreRead(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.revokeTime = 4 * time.Second
	c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.startServing()
	before := c.store.Copy()
	c.putConfig(2, "key")
	for _, h := range c.hosts {
		c.eventually("configuration is read", func() bool { return h.log.count("configuration updated") == 2 })
	}
	c.restoreStore(before, func() {
		c.putConfig(3, "new")
		c.put("keyed.op", "version/m", map[string]any{"model": "m", "version": 1})
		c.put("keyed.op", "version/m", map[string]any{"model": "m", "version": 1})
	})
	restored := time.Now()
	c.eventually("new key is accepted", func() bool { return c.serves("new") })
	is.True(time.Since(restored) < 2*time.Second)
}

// A copy has endpoints that have left since, and says of others that they are ready though
// they are draining.
func TestEndpointsThatLeftAreNotUsedAfterARestore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.revokeTime = 5 * time.Second
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		c.startEndpoint(id, "shop", "zone-0", server.Config{})
	}
	c.startServing()
	before := c.store.Copy()
	c.putEndpoint("i-1", "shop", "zone-0", "draining", 2)
	c.put("keyed.servers", "i-2", nil)
	c.startEndpoint("i-4", "shop", "zone-0", server.Config{}) // joins after the copy
	for _, h := range c.hosts {
		c.eventually("host knows the changes", func() bool {
			return h.log.count("change=leaving") == 1 && h.log.count("change=removed") == 1 && h.log.count("change=added") == 4
		})
	}
	runs := func(id string) int { return len(c.servers[id].Runs()) }
	left := runs("i-1") + runs("i-2")
	c.restoreStore(before, func() { c.putEndpoint("i-3", "shop", "zone-0", "ready", 2) })
	joined := runs("i-4")
	for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); {
		is.True(c.serves("key"))
	}
	is.True(runs("i-4") > joined) // it has time to write its entry again
	time.Sleep(2 * time.Second)   // and did not
	is.True(c.serves("key"))
	is.Equal(runs("i-1")+runs("i-2"), left)
	for _, h := range c.hosts {
		is.Equal(h.log.count("change=removed"), 2) // i-2 and i-4
	}
}

// Grants of the lease are lost, and their offsets are given out again.
func TestFencingTokensGoUpAcrossARestore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.revokeTime = 5 * time.Second
	for n := range 3 {
		c.startEndpoint(fmt.Sprint("i-", n), "engines", "zone-0", server.Config{Name: "m", Events: 1})
	}
	c.startServing()
	before := c.store.Copy()
	load := func(version int) {
		c.put("keyed.op", "version/m", map[string]any{"model": "m", "version": version})
		c.eventually(fmt.Sprint("all engines have version ", version), func() bool {
			for id, s := range c.servers {
				c.putEndpoint(id, "engines", "zone-0", "ready", version)
				if s.Version() != version {
					return false
				}
			}
			return true
		})
	}
	load(2)
	load(3)
	c.restoreStore(before, func() { c.put("keyed.op", "version/m", map[string]any{"model": "m", "version": 3}) })
	load(4)
	for _, s := range c.servers {
		last := int64(0)
		for _, holder := range s.Holders() {
			_, text, _ := strings.Cut(holder, " ")
			token, err := strconv.ParseInt(text, 10, 64)
			is.NoErr(err)
			is.True(token >= last)
			last = token
		}
	}
}

// The registrations of hosts are lost; a host that starts afterwards finds all others. Other
// records may be at the offsets that hosts have read, so that their reads wait.
func TestHostsRegisterAgainAfterARestore(t *testing.T) {
	for _, others := range []int{0, 1, 2, 3} {
		t.Run(fmt.Sprint(others, " other records"), func(t *testing.T) { testRegisterAgain(t, others) })
	}
}

func testRegisterAgain(t *testing.T, others int) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.revokeTime = 5 * time.Second
	before := c.store.Copy()
	c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.startServing()
	for _, h := range c.hosts {
		c.eventually("host knows the other", func() bool { return h.log.count("host registered") >= 1 })
	}
	c.restoreStore(before, func() {
		c.putEndpoint("i-1", "shop", "zone-0", "ready", 2)
		c.putConfig(1, "key")
		for range others {
			c.put("keyed.cicada-hosts", "other", map[string]any{"name": "other", "failure-domain": "zone-9", "address": "127.0.0.1:9"})
		}
	})
	c.hostCount = 3
	c.startHosts()
	for _, h := range []string{"host-0", "host-1"} {
		c.eventually("new host knows "+h, func() bool { return c.hosts[2].log.count("host="+h) >= 1 })
	}
	is.True(c.serves("key"))
}
