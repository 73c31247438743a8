package taint

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxUnexplained is how many crashes of a part may be left unexplained by a deeper part
	// that is rejected in its place. One may have had another reason, while requests with the
	// part were in flight.
	maxUnexplained = 1
	// certainCrashes is the number of crashes from which on none may be left.
	certainCrashes = maxCrashes + 2
)

// candidate is a part with enough pairs to be rejected if none of them is explained.
type candidate struct {
	part  string
	depth int
	// wasRejected is set if the part is rejected so far.
	wasRejected bool
	// endpoints are those of all its pairs, and open those of the pairs that no rejected part
	// explains.
	endpoints map[string]bool
	open      map[string]bool
}

// compare orders candidates: deep parts first, since fewer requests share them.
func (c *candidate) compare(other *candidate) int {
	if c.depth == other.depth && c.wasRejected != other.wasRejected {
		// Evidence that arrives in pieces must not exchange the rejected part for a moment.
		if c.wasRejected {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(other.depth, c.depth), cmp.Compare(c.part, other.part))
}

// compareOpen orders candidates by their unexplained crashes, most first.
func (c *candidate) compareOpen(other *candidate) int {
	return cmp.Or(cmp.Compare(len(other.open), len(c.open)), c.compare(other))
}

// explains reports whether c can be rejected in place of a part ahead of it.
func (c *candidate) explains(ahead *candidate) bool {
	if c.depth <= ahead.depth || len(c.open) < maxCrashes {
		return false
	}
	unexplained := 0
	for endpoint := range ahead.open {
		if !c.endpoints[endpoint] {
			unexplained++
		}
	}
	return unexplained == 0 || unexplained <= maxUnexplained && len(ahead.open) < certainCrashes
}

// chooseRejected returns the parts to reject, with the endpoints whose crashes each of them
// explains. A part ahead of others that vary is in all crashes, and each of the others in
// some, so it replaces a deeper part that was rejected for the first few.
func chooseRejected(candidates []*candidate) map[string][]string {
	rejected := make(map[string][]string)
	for len(candidates) > 0 {
		most := slices.MinFunc(candidates, (*candidate).compareOpen)
		if len(most.open) < maxCrashes {
			break
		}
		chosen := most
		for _, c := range candidates {
			if c.explains(most) && (chosen == most || c.compare(chosen) < 0) {
				chosen = c
			}
		}
		rejected[chosen.part] = slices.Sorted(maps.Keys(chosen.open))
		for _, c := range candidates {
			maps.DeleteFunc(c.open, func(endpoint string, _ bool) bool { return chosen.endpoints[endpoint] })
		}
	}
	return rejected
}

// decide computes the rejected parts and returns the changes; the caller holds the lock.
func (t *Table) decide() []Change {
	rejected := chooseRejected(t.candidates())
	var changes []Change
	for part, endpoints := range rejected {
		if _, was := t.rejected[part]; !was {
			changes = append(changes, Change{Part: part, Rejected: true, Endpoints: endpoints})
		}
	}
	for part := range t.rejected {
		if _, is := rejected[part]; !is {
			changes = append(changes, Change{Part: part})
		}
	}
	t.rejected = rejected
	return changes
}

// candidates returns the parts with pairs enough to be rejected; the caller holds the lock.
func (t *Table) candidates() []*candidate {
	out := make([]*candidate, 0, len(t.crowded))
	for part, e := range t.crowded {
		_, was := t.rejected[part]
		c := &candidate{part: part, wasRejected: was, endpoints: make(map[string]bool, e.open)}
		for endpoint, p := range e.pairs {
			if !p.Dismissed {
				c.depth = max(c.depth, p.Depth)
				c.endpoints[endpoint] = true
			}
		}
		c.open = maps.Clone(c.endpoints)
		out = append(out, c)
	}
	return out
}
