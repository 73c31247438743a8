package watch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/site"
)

func endpoints(ids ...string) map[string]*site.Endpoint {
	out := make(map[string]*site.Endpoint)
	for _, id := range ids {
		out[id] = &site.Endpoint{ID: id}
	}
	return out
}

func TestRemovedEntryIsDroppedImmediately(t *testing.T) {
	is := is.New(t)
	r := newEndpointList()
	r.apply(feed.Entries{Complete: true, Endpoints: endpoints("a", "b")}, 0)
	changes := r.apply(feed.Entries{Removed: []string{"a"}}, time.Second)
	is.Equal(changes, []change{{id: "a", kind: "removed"}})
	is.Equal(len(r.list()), 1)
}

func TestEntriesExpiredDuringOutageAreKeptUntilRenewed(t *testing.T) {
	is := is.New(t)
	r := newEndpointList()
	r.apply(feed.Entries{Complete: true, Endpoints: endpoints("a", "b")}, 0)
	recovered := 10 * time.Second
	r.apply(feed.Entries{Removed: []string{"a", "b"}}, recovered)
	is.Equal(len(r.list()), 2)
	is.True(r.keepsExpired(recovered))
	r.apply(feed.Entries{Endpoints: endpoints("a")}, recovered+time.Second)
	r.apply(feed.Entries{}, recovered+renewTime)
	is.Equal(len(r.list()), 1) // b was not renewed
	is.True(!r.keepsExpired(recovered + renewTime))
}

// A hub that was partitioned from the store keeps expired entries for a while after it
// can read again. If it passed them on, it would add endpoints again that other hosts
// have already seen removed. Found by randomized testing (qhapaq-andes, mix, seed
// 828459855242).
func TestHubKeepingExpiredEntriesIsNotAuthoritative(t *testing.T) {
	is := is.New(t)
	hub := newEndpointList()
	hub.apply(feed.Entries{Complete: true, Endpoints: endpoints("a")}, 0)
	hub.apply(feed.Entries{Removed: []string{"a"}}, 10*time.Second)
	is.Equal(len(hub.list()), 1)
	is.True(hub.keepsExpired(10 * time.Second))
	member := newEndpointList()
	member.replace(endpoints("b"), 10*time.Second)
	is.True(!member.keepsExpired(10 * time.Second)) // a list from an authoritative hub contains no expired entries
}
