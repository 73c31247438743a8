package hubs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"cicadastand.dev/core/coord/hubs"
	"cicadastand.dev/core/proto/feed"
)

func system(domains, perDomain int) []feed.Host {
	var out []feed.Host
	for d := range domains {
		for h := range perDomain {
			out = append(out, feed.Host{Name: fmt.Sprintf("h%d-%d", d, h), FailureDomain: fmt.Sprint("d", d), Address: "10.0.0.1:1"})
		}
	}
	return out
}

func tables(hosts []feed.Host) []*hubs.Table {
	var out []*hubs.Table
	for _, self := range hosts {
		t := hubs.New(hubs.Config{Self: self, RetryAfter: time.Second})
		for _, h := range hosts {
			t.Add(h)
		}
		out = append(out, t)
	}
	return out
}

func TestAllHostsOfADomainChooseTheSameHub(t *testing.T) {
	is := is.New(t)
	hosts := system(3, 20)
	hub := make(map[string]string)
	for i, table := range tables(hosts) {
		own := table.OwnHub(0)
		d := hosts[i].FailureDomain
		if hub[d] == "" {
			hub[d] = own.Name
		}
		is.Equal(own.Name, hub[d])
		is.Equal(own.FailureDomain, d)
		is.Equal(len(table.OtherHubs(0)), 2)
		is.True(!table.IsMesh())
	}
}

// A domain has hosts with links of 10 and of 200 Mbit/s. As a hub, a host with a slow
// link would be saturated by the messages of 20 hosts.
func TestTheHubIsAHostWithAFastLink(t *testing.T) {
	is := is.New(t)
	hosts := system(1, 20)
	for i := range hosts {
		hosts[i].LinkMbps = 10
	}
	hosts[7].LinkMbps = 200
	for _, table := range tables(hosts) {
		is.Equal(table.OwnHub(0).Name, hosts[7].Name)
	}
	table := tables(hosts)[0]
	table.MarkFailed(hosts[7].Name, 0)
	is.True(table.OwnHub(0).Name != hosts[7].Name)
}

func TestAHubThatDoesNotRespondIsSkippedForATime(t *testing.T) {
	is := is.New(t)
	hosts := system(1, 20)
	table := tables(hosts)[0]
	first := table.OwnHub(0)
	table.MarkFailed(first.Name, 0)
	second := table.OwnHub(0)
	is.True(second.Name != first.Name)
	is.Equal(table.OwnHub(time.Second).Name, first.Name) // tried again
	table.MarkFailed(first.Name, time.Second)
	table.MarkReachable(first.Name)
	is.Equal(table.OwnHub(time.Second).Name, first.Name)
}

func TestASingleHostIsItsOwnHub(t *testing.T) {
	is := is.New(t)
	self := feed.Host{Name: "a", FailureDomain: "d"}
	table := hubs.New(hubs.Config{Self: self, RetryAfter: time.Second})
	is.Equal(table.OwnHub(0), self)
	is.True(table.IsMesh())
	is.True(table.Add(feed.Host{Name: "b", FailureDomain: "d"}))
	is.True(!table.Add(feed.Host{Name: "b", FailureDomain: "d"}))
	is.Equal(len(table.Reachable(0)), 1)
}

func TestOneHubLeads(t *testing.T) {
	is := is.New(t)
	all := tables(system(7, 5))
	leads := lo.Filter(all, func(t *hubs.Table, _ int) bool { return t.IsLead(0) })
	is.Equal(len(leads), 1)
	lead := leads[0].OwnHub(0)
	for _, table := range all {
		table.MarkFailed(lead.Name, 0)
	}
	others := lo.Filter(all, func(t *hubs.Table, _ int) bool { return t != leads[0] && t.IsLead(0) })
	is.Equal(len(others), 1) // the others agree on another one while the lead does not respond
}

// A hub with a full link sends its responses late. The next hub would have a slower link.
func TestSlowHubIsNotTakenForALostOne(t *testing.T) {
	is := is.New(t)
	table := tables(system(1, 20))[0]
	hub := table.OwnHub(0).Name
	is.True(!table.MarkSlow(hub, 0))
	is.True(!table.MarkSlow(hub, 0))
	is.Equal(table.OwnHub(0).Name, hub)
	table.MarkReachable(hub)
	is.True(!table.MarkSlow(hub, 0))
	is.True(!table.MarkSlow(hub, 0))
	is.True(table.MarkSlow(hub, 0)) // the third one in a row
	is.True(table.OwnHub(0).Name != hub)
}
