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
		t.Heard(member.Host{Name: fmt.Sprintf("h%d", i)}, false, start)
	}
	t.Review(start)
	return t
}

func state(t *member.Table, name string) member.State {
	for _, h := range t.Find(member.FindOptions{}) {
		if h.Name == name {
			return h.State
		}
	}
	return "unknown"
}

func TestSingleHostIsGivenUpSoon(t *testing.T) {
	is := is.New(t)
	m := table(6)
	now := start.Add(7 * time.Second)
	for i := 1; i < 6; i++ {
		m.Heard(member.Host{Name: fmt.Sprintf("h%d", i)}, false, now)
	}
	m.Review(now)
	is.Equal(state(m, "h0"), member.Gone)
	is.Equal(state(m, "h1"), member.Live)
	is.Equal(m.Contracted(), 6)
}

func TestManyHostsAreGivenUpLate(t *testing.T) {
	is := is.New(t)
	m := table(6)
	m.Review(start.Add(7 * time.Second)) // all quiet together: a cut is more likely
	is.Equal(state(m, "h0"), member.Silent)
	is.Equal(m.Contracted(), 7) // shares of limits stay as they were
	m.Review(start.Add(31 * time.Second))
	is.Equal(state(m, "h0"), member.Gone)
}

func TestListLags(t *testing.T) {
	is := is.New(t)
	m := table(2)
	m.List([]member.Host{{Name: "h0"}, {Name: "new"}}, start)
	is.Equal(state(m, "h1"), member.Live) // missing on the list, but heard of
	m.Review(start.Add(time.Second))
	is.Equal(state(m, "new"), member.Live)
	m.Heard(member.Host{Name: "h1"}, true, start.Add(time.Second))
	m.Review(start.Add(time.Second))
	is.Equal(state(m, "h1"), member.Leaving)
}

func TestHostsAreHeardOfThroughOthers(t *testing.T) {
	is := is.New(t)
	m := table(4)
	now := start.Add(7 * time.Second)
	m.Learn([]member.Host{{Name: "h0", State: member.Live, Heard: now.Add(-time.Second)}, {Name: "h1", State: member.Leaving, Heard: now}}, now)
	m.Heard(member.Host{Name: "h2"}, false, now)
	m.Review(now)
	is.Equal(state(m, "h0"), member.Live)
	is.Equal(state(m, "h1"), member.Leaving)
	is.Equal(state(m, "h3"), member.Gone) // nobody has heard of it
	m.Learn([]member.Host{{Name: "h3", State: member.Live, Heard: now.Add(time.Hour)}}, now)
	m.Review(now)
	is.Equal(state(m, "h3"), member.Gone) // a word from the future is not believed
}
