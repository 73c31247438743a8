package watch

import (
	"maps"
	"slices"
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
	// era is that of the newest read. The first read of an era may return entries of a copy.
	era int64
	// gone holds the last entries of endpoints that were dropped, since a copy may still
	// have them.
	gone map[string]goneEntry
}

// goneEntry is the last entry of an endpoint that was dropped at a time.
type goneEntry struct {
	*site.Endpoint
	at time.Duration
}

// goneTime is how long dropped entries are remembered: copies are some seconds old.
const goneTime = 5 * time.Minute

// change is one difference between two reads.
type change struct {
	id   string
	kind string
}

func newEndpointList() *endpointList {
	return &endpointList{entries: make(map[string]*site.Endpoint), removed: make(map[string]bool), gone: make(map[string]goneEntry)}
}

// apply applies a read that ended at now and returns the changes.
func (l *endpointList) apply(e feed.Entries, now time.Duration) []change {
	restored := l.started && e.Era > l.era
	if restored || l.started && now-l.lastRead > outageAfter {
		l.keepUntil = now + renewTime
	}
	l.era = max(l.era, e.Era)
	l.started = true
	l.lastRead = now
	var out []change
	for id, endpoint := range e.Endpoints {
		if l.isOutdated(endpoint, restored) {
			continue
		}
		delete(l.removed, id)
		delete(l.gone, id)
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
			if e.Endpoints[id] == nil && !slices.Contains(e.Invalid, id) {
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
			l.gone[id] = goneEntry{Endpoint: l.entries[id], at: now}
		}
		delete(l.entries, id)
	}
	clear(l.removed)
	maps.DeleteFunc(l.gone, func(_ string, g goneEntry) bool { return now-g.at > goneTime })
	return out
}

// isOutdated reports whether an entry says less than what this host knows of the endpoint.
// The first read of an era may return entries of a copy. That an endpoint left is not undone
// by an entry that the endpoint has not written since.
func (l *endpointList) isOutdated(e *site.Endpoint, restored bool) bool {
	last, left := l.entries[e.ID], false
	if last != nil {
		left = last.Draining && !e.Draining
	} else if g, ok := l.gone[e.ID]; ok {
		last, left = g.Endpoint, true
	}
	if last == nil || !restored && !left || e.Started.After(last.Started) {
		return false
	}
	if e.Started.Before(last.Started) || e.Sequence < last.Sequence {
		return true
	}
	if left && restored {
		l.setSequence(last, e.Sequence)
	}
	return left && (restored || e.Sequence == last.Sequence)
}

// setSequence changes the sequence of the last entry of an endpoint.
func (l *endpointList) setSequence(last *site.Endpoint, sequence int64) {
	// Other goroutines read the entry in the mirror.
	changed := *last
	changed.Sequence = sequence
	if g, ok := l.gone[last.ID]; ok {
		l.gone[last.ID] = goneEntry{Endpoint: &changed, at: g.at}
		return
	}
	l.entries[last.ID] = &changed
}

// keepsExpired reports whether the list may contain expired entries.
func (l *endpointList) keepsExpired(now time.Duration) bool { return now < l.keepUntil }

// recordRead records a read of the store by another host.
func (l *endpointList) recordRead(started time.Duration) { l.lastRead = max(l.lastRead, started) }

// replace replaces the list with that of another host. That host has already kept
// expired entries for as long as necessary, so this one does not.
func (l *endpointList) replace(list map[string]*site.Endpoint, era int64, now time.Duration) []change {
	l.lastRead = now
	out := l.apply(feed.Entries{Era: era, Complete: true, Endpoints: list}, now)
	l.keepUntil = 0
	return append(out, l.apply(feed.Entries{Era: era}, now)...)
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
	case old.Address != now.Address || old.Service != now.Service || old.Slots != now.Slots || old.Build != now.Build || old.Draining != now.Draining:
		return "entry"
	default:
		return ""
	}
}

// list returns a copy of the list.
func (l *endpointList) list() map[string]*site.Endpoint { return maps.Clone(l.entries) }
