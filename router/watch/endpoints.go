package watch

import (
	"maps"
	"time"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/site"
)

// endpointList is this host's copy of the endpoint list. Entries that expire while the
// store is unavailable are kept until their endpoints have had time to renew them.
type endpointList struct {
	entries map[string]*site.Endpoint
	// removed holds the IDs of entries to drop. During and shortly after an outage of
	// the store they stay listed until keepUntil.
	removed   map[string]bool
	lastRead  time.Duration
	keepUntil time.Duration
	started   bool
}

// change is one difference between two reads.
type change struct {
	id   string
	kind string
}

func newEndpointList() *endpointList {
	return &endpointList{entries: make(map[string]*site.Endpoint), removed: make(map[string]bool)}
}

// apply applies a read that ended at now and returns the changes.
func (l *endpointList) apply(e feed.Entries, now time.Duration) []change {
	if l.started && now-l.lastRead > outageAfter {
		l.keepUntil = now + renewTime
	}
	l.started = true
	l.lastRead = now
	var out []change
	for id, endpoint := range e.Endpoints {
		delete(l.removed, id)
		if kind := difference(l.entries[id], endpoint); kind != "" {
			out = append(out, change{id: id, kind: kind})
		}
		l.entries[id] = endpoint
	}
	for _, id := range e.Removed {
		l.removed[id] = true
	}
	if e.Complete {
		for id := range l.entries {
			if e.Endpoints[id] == nil {
				l.removed[id] = true
			}
		}
	}
	if now < l.keepUntil {
		return out
	}
	for id := range l.removed {
		if l.entries[id] != nil {
			out = append(out, change{id: id, kind: "removed"})
		}
		delete(l.entries, id)
	}
	clear(l.removed)
	return out
}

// keepsExpired reports whether the list may contain expired entries.
func (l *endpointList) keepsExpired(now time.Duration) bool { return now < l.keepUntil }

// replace replaces the list with that of another host. That host has already kept
// expired entries for as long as necessary, so this one does not.
func (l *endpointList) replace(list map[string]*site.Endpoint, now time.Duration) []change {
	l.keepUntil = 0
	l.lastRead = now
	return l.apply(feed.Entries{Complete: true, Endpoints: list}, now)
}

// difference returns the kind of change between two versions of an entry, or the empty
// string if there is none.
func difference(old, now *site.Endpoint) string {
	switch {
	case old == nil:
		return "added"
	case !old.Started.Equal(now.Started):
		return "restarted"
	case now.Draining && !old.Draining:
		return "leaving"
	case !maps.Equal(old.Weights, now.Weights):
		return "weights"
	case old.Address != now.Address || old.Service != now.Service || old.Slots != now.Slots || old.Draining != now.Draining:
		return "entry"
	default:
		return ""
	}
}

// list returns a copy of the list.
func (l *endpointList) list() map[string]*site.Endpoint { return maps.Clone(l.entries) }
