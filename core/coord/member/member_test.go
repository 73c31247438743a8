package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/member"
)

var start = time.Unix(1000, 0)

func table(n int) *member.Table {
	t := member.New(member.DefaultConfig(member.Host{Name: "self"}))
	for i := range n {
		t.RecordContact(member.Host{Name: fmt.Sprintf("h%d", i)}, false, start)
	}
	t.UpdateStates(start)
	return t
}

func stateOf(t *member.Table, name string) member.State {
	for _, h := range t.Find(member.FindOptions{}) {
		if h.Name == name {
			return h.State
		}
	}
	return "unknown"
}

func TestASingleSilentHostIsGoneSoon(t *testing.T) {
	is := is.New(t)
	m := table(6)
	now := start.Add(7 * time.Second)
	for i := 1; i < 6; i++ {
		m.RecordContact(member.Host{Name: fmt.Sprintf("h%d", i)}, false, now)
	}
	m.UpdateStates(now)
	is.Equal(stateOf(m, "h0"), member.Gone)
	is.Equal(stateOf(m, "h1"), member.Live)
	is.Equal(m.ActiveCount(), 6)
}

func TestManyHostsAreGoneOnlyAfterALongerTimeout(t *testing.T) {
	is := is.New(t)
	m := table(6)
	m.UpdateStates(start.Add(7 * time.Second)) // all are out of contact at once: a network partition is more likely
	is.Equal(stateOf(m, "h0"), member.Silent)
	is.Equal(m.ActiveCount(), 7) // the shares of limits do not change
	m.UpdateStates(start.Add(31 * time.Second))
	is.Equal(stateOf(m, "h0"), member.Gone)
}

func TestTheListMayLag(t *testing.T) {
	is := is.New(t)
	m := table(2)
	m.SetListed([]member.Host{{Name: "h0"}, {Name: "new"}}, start)
	is.Equal(stateOf(m, "h1"), member.Live) // not listed, but in contact
	m.UpdateStates(start.Add(time.Second))
	is.Equal(stateOf(m, "new"), member.Live)
	m.RecordContact(member.Host{Name: "h1"}, true, start.Add(time.Second))
	m.UpdateStates(start.Add(time.Second))
	is.Equal(stateOf(m, "h1"), member.Leaving)
}

func TestContactIsLearntFromPeers(t *testing.T) {
	is := is.New(t)
	m := table(4)
	now := start.Add(7 * time.Second)
	m.Merge([]member.Host{{Name: "h0", State: member.Live, LastContact: now.Add(-time.Second)}, {Name: "h1", State: member.Leaving, LastContact: now}}, now)
	m.RecordContact(member.Host{Name: "h2"}, false, now)
	m.UpdateStates(now)
	is.Equal(stateOf(m, "h0"), member.Live)
	is.Equal(stateOf(m, "h1"), member.Leaving)
	is.Equal(stateOf(m, "h3"), member.Gone) // no host was in contact with it
	m.Merge([]member.Host{{Name: "h3", State: member.Live, LastContact: now.Add(time.Hour)}}, now)
	m.UpdateStates(now)
	is.Equal(stateOf(m, "h3"), member.Gone) // a contact time in the future is ignored
}
