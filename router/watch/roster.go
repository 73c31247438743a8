package watch

import (
	"maps"
	"time"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/site"
)

// roster is the list of endpoints that the host believes. Entries that lapse
// while the store is away are held until their endpoints have had time to renew
// them.
type roster struct {
	by map[string]*site.Endpoint
	// missing are entries that were removed while the host could not read, or just
	// after.
	missing map[string]bool
	read    time.Duration
	hold    time.Duration
	started bool
}

// change is one difference that a read made.
type change struct {
	id   string
	what string
}

func newRoster() *roster {
	return &roster{by: make(map[string]*site.Endpoint), missing: make(map[string]bool)}
}

// take applies a read that ended at now. It returns what has changed.
func (r *roster) take(e feed.Entries, now time.Duration) []change {
	if r.started && now-r.read > outageAfter {
		r.hold = now + returnTime
	}
	r.started = true
	r.read = now
	var out []change
	for id, endpoint := range e.Endpoints {
		delete(r.missing, id)
		if what := difference(r.by[id], endpoint); what != "" {
			out = append(out, change{id: id, what: what})
		}
		r.by[id] = endpoint
	}
	for _, id := range e.Removed {
		r.missing[id] = true
	}
	if e.Complete {
		for id := range r.by {
			if e.Endpoints[id] == nil {
				r.missing[id] = true
			}
		}
	}
	if now < r.hold {
		return out
	}
	for id := range r.missing {
		if r.by[id] != nil {
			out = append(out, change{id: id, what: "removed"})
		}
		delete(r.by, id)
	}
	clear(r.missing)
	return out
}

// holds reports whether entries are still listed that may be gone.
func (r *roster) holds(now time.Duration) bool { return now < r.hold }

// replace takes the whole list of another host, which has held what it had to.
func (r *roster) replace(list map[string]*site.Endpoint, now time.Duration) []change {
	r.hold = 0
	r.read = now
	return r.take(feed.Entries{Complete: true, Endpoints: list}, now)
}

// difference names what is new about an entry; it is empty if nothing is.
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

// list returns the endpoints that are believed.
func (r *roster) list() map[string]*site.Endpoint { return maps.Clone(r.by) }
