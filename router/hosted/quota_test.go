package hosted_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/stand/server"
)

// limited publishes a configuration with a limit in requests for the account of the key "key".
func (c *cluster) limited(version int, perSecond, burst float64) {
	c.putTenants(version,
		map[string]any{"name": "acme", "api_keys": []string{"key"}, "rate_per_s": perSecond, "burst": burst, "unit": "request_count"},
		map[string]any{"name": "free", "api_keys": []string{"free"}})
}

// startLimited starts three hosts that serve an account above its limit, and their load.
func (c *cluster) startLimited(perSecond, burst float64) []*pacedLoad {
	c.startEndpoint("i-1", "shop", "zone-0", server.Config{})
	c.limited(1, perSecond, burst)
	c.startHosts()
	for _, h := range c.hosts {
		c.eventually("host is ready", func() bool { return c.isReady(h) })
		c.eventually("host knows the others", func() bool { return h.log.count("host registered") >= len(c.hosts)-1 })
	}
	var loads []*pacedLoad
	for i, h := range c.hosts {
		loads = append(loads, c.startLoad(h, fmt.Sprint("load", i), "POST", "/lookup/", time.Duration(10+5*i)*time.Millisecond, 100))
	}
	return loads
}

// Each host knows only its own requests. If each allowed the whole limit, or an even share while
// most requests come to one host, an account would get too much or too little.
func TestAccountStaysWithinItsLimitOverAllHosts(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	const perSecond, burst, span = 40.0, 20.0, 3 * time.Second
	loads := c.startLimited(perSecond, burst)
	time.Sleep(time.Second)
	begun := time.Now()
	time.Sleep(span + 500*time.Millisecond)
	got := c.send(c.hosts[0], "POST", "/lookup/", "other", "free", "")
	is.Equal(got.status, http.StatusOK) // an account without a limit
	c.eventually("request is rejected", func() bool {
		got = c.send(c.hosts[1], "POST", "/lookup/", "one more", "key", "")
		return got.status == http.StatusTooManyRequests
	})
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after <= 2.5/3) // a third of the client's time
	is.True(c.hosts[1].log.count("decided-by=") > 0)
	for _, l := range loads {
		for status := range l.end() {
			is.True(status == http.StatusOK || status == http.StatusTooManyRequests)
		}
	}
	most := mostRuns(c.servers["i-1"], time.Time{}, span)
	is.True(float64(most) <= (perSecond*span.Seconds()+burst)*1.1+float64(len(c.hosts)))
	is.True(float64(mostRuns(c.servers["i-1"], begun, span)) >= 0.8*perSecond*span.Seconds()) // what the limit allows is served
}

// A reduced limit holds also where an earlier one was granted.
func TestReducedLimitHolds(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	loads := c.startLimited(80, 80)
	time.Sleep(time.Second)
	const perSecond, burst, span = 10.0, 10.0, 3 * time.Second
	c.limited(2, perSecond, burst)
	time.Sleep(3 * time.Second) // the time in which hosts read a configuration
	from := time.Now()
	time.Sleep(span + 500*time.Millisecond)
	for _, l := range loads {
		l.end()
	}
	most := mostRuns(c.servers["i-1"], from, span)
	is.True(float64(most) <= (perSecond*span.Seconds()+burst)*1.1+float64(len(c.hosts)))
	is.True(float64(most) >= 0.8*perSecond*span.Seconds())
}
