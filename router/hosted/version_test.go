package hosted_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/stand/server"
)

// registryTime is the time after which started hosts know each other and follow the store
// without delay.
const registryTime = 1500 * time.Millisecond

// publishWeights publishes a version of the weights and returns the time of its publication.
func (c *cluster) publishWeights(version int) time.Time {
	c.put("keyed.op", "version/m", map[string]any{"model": "m", "version": version})
	return time.Now()
}

// runs returns the number of requests that all endpoints have started to execute.
func (c *cluster) runs() int {
	n := 0
	for _, s := range c.servers {
		n += len(s.Runs())
	}
	return n
}

// No engine can be updated, so a request past the bound has no engine to run at.
func TestNoRequestStartsOnWeightsPastTheBound(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.versionTime = 2500 * time.Millisecond
	for n := range 2 {
		c.startEndpoint(fmt.Sprint("i-", n), "engines", "zone-0", server.Config{Name: "m", Events: 1, RejectOrders: true})
	}
	c.startServing()
	time.Sleep(registryTime)
	published := c.publishWeights(2)
	c.eventually("old weights are used while they are permitted", func() bool {
		return c.send(c.hosts[0], "POST", "/chat/", "r1", "key", "x").status == 200
	})
	time.Sleep(time.Until(published.Add(c.versionTime)))
	before := c.runs()
	for n := range 8 {
		got := c.send(c.hosts[0], "POST", "/chat/", fmt.Sprint("late-", n), "key", "x")
		is.Equal(got.status, 503)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(c.runs(), before)
}

// A host that starts, or wakes, after a publication must not use old weights for longer than
// the others.
func TestLateHostCountsTheAgeOfWeightsFromTheirPublication(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	for n := range 2 {
		c.startEndpoint(fmt.Sprint("i-", n), "engines", "zone-0", server.Config{Name: "m", Events: 1, RejectOrders: true})
	}
	c.startServing()
	time.Sleep(registryTime)
	published := c.publishWeights(2)
	time.Sleep(time.Until(published.Add(3500 * time.Millisecond)))
	late := c.startHost(1, c.storeAddress)
	c.eventually("late host is ready", func() bool { return c.isReady(late) })
	time.Sleep(time.Until(published.Add(c.versionTime)))
	before := c.runs()
	for n := range 8 {
		is.Equal(c.send(late, "POST", "/chat/", fmt.Sprint("late-", n), "key", "x").status, 503)
	}
	is.Equal(c.runs(), before)
}
