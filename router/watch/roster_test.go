package watch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/site"
)

func present(ids ...string) map[string]*site.Endpoint {
	out := make(map[string]*site.Endpoint)
	for _, id := range ids {
		out[id] = &site.Endpoint{ID: id}
	}
	return out
}

func TestARemovedEntryIsGoneAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.take(feed.Entries{Complete: true, Endpoints: present("a", "b")}, 0)
	changes := r.take(feed.Entries{Removed: []string{"a"}}, time.Second)
	is.Equal(changes, []change{{id: "a", what: "removed"}})
	is.Equal(len(r.list()), 1)
}

func TestEntriesThatLapsedInAnOutageAreHeldUntilTheyCanBeBack(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.take(feed.Entries{Complete: true, Endpoints: present("a", "b")}, 0)
	back := 10 * time.Second
	r.take(feed.Entries{Removed: []string{"a", "b"}}, back)
	is.Equal(len(r.list()), 2)
	is.True(r.holds(back))
	r.take(feed.Entries{Endpoints: present("a")}, back+time.Second)
	r.take(feed.Entries{}, back+returnTime)
	is.Equal(len(r.list()), 1) // b was not renewed
	is.True(!r.holds(back + returnTime))
}

// Found by a hunt (qhapaq-andes, mix, seed 828459855242): a hub that came back
// from a cut held entries that others had seen removed, and gave them back.
func TestAHubThatHoldsEntriesVouchesForNothing(t *testing.T) {
	is := is.New(t)
	hub := newRoster()
	hub.take(feed.Entries{Complete: true, Endpoints: present("a")}, 0)
	hub.take(feed.Entries{Removed: []string{"a"}}, 10*time.Second)
	is.Equal(len(hub.list()), 1)
	is.True(hub.holds(10 * time.Second))
	member := newRoster()
	member.replace(present("b"), 10*time.Second)
	is.True(!member.holds(10 * time.Second)) // the word of a hub that vouches is whole
}
