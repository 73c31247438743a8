package taint

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxUnexplained is how many crashes of a part may be left unexplained by a deeper part
	// that is rejected in its place. One may have had another reason, while requests with the
	// part were in flight.
	maxUnexplained = 1
	// certainCrashes is the number of crashes from which on none may be left.
	certainCrashes = maxCrashes + 2
	// waveTime is the time within which crashes on answers that had begun count as one. Engines
	// that fail together take all of their answers with them, while those of a part that crashes
	// engines come and crash one by one.
	waveTime = 100 * time.Millisecond
	// lateByChance is how many crashes that came later than OutliveMargin after the first event
	// don't count. The longer answers go on, the more of them are hit by other crashes.
	lateByChance = 1
)

// candidate is a part with enough pairs to be rejected if none of them is explained.
type candidate struct {
	part  string
	depth int
	// wasRejected is set if the part is rejected so far.
	wasRejected bool
	// pairs are all its pairs by endpoint, and open those that no rejected part explains.
	pairs map[string]*pair
	open  map[string]*pair
	// crashes is the number of crashes in open.
	crashes int
}

// countCrashes returns the number of crashes of some pairs. Those within waveTime, on answers
// that had begun before all of them, are one, and lateByChance of those that came late don't count.
func countCrashes(pairs map[string]*pair) int {
	early, late := 0, 0
	var begun []*pair
	for _, p := range pairs {
		if p.Ran > 0 {
			begun = append(begun, p)
		} else {
			early++
		}
	}
	slices.SortFunc(begun, func(a, b *pair) int {
		return cmp.Or(cmp.Compare(a.Crashed, b.Crashed), cmp.Compare(a.Ran, b.Ran))
	})
	first := 0
	for i, p := range begun {
		switch {
		case i > 0 && p.Crashed-begun[first].Crashed < waveTime && p.Crashed-p.Ran <= begun[first].Crashed:
			continue
		case p.Ran > OutliveMargin:
			late++
		default:
			early++
		}
		first = i
	}
	return early + max(0, late-lateByChance)
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
	return cmp.Or(cmp.Compare(other.crashes, c.crashes), c.compare(other))
}

// explains reports whether c can be rejected in place of a part ahead of it.
func (c *candidate) explains(ahead *candidate) bool {
	if c.depth <= ahead.depth || c.crashes < maxCrashes {
		return false
	}
	unexplained := 0
	for endpoint := range ahead.open {
		if c.pairs[endpoint] == nil {
			unexplained++
		}
	}
	return unexplained == 0 || unexplained <= maxUnexplained && ahead.crashes < certainCrashes
}

// chooseRejected returns the parts to reject, with the endpoints whose crashes each of them
// explains. A part ahead of others that vary is in all crashes, and each of the others in
// some, so it replaces a deeper part that was rejected for the first few.
func chooseRejected(candidates []*candidate) map[string][]string {
	rejected := make(map[string][]string)
	for len(candidates) > 0 {
		most := slices.MinFunc(candidates, (*candidate).compareOpen)
		if most.crashes < maxCrashes {
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
			maps.DeleteFunc(c.open, func(endpoint string, _ *pair) bool { return chosen.pairs[endpoint] != nil })
			c.crashes = countCrashes(c.open)
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
		c := &candidate{part: part, wasRejected: was, pairs: make(map[string]*pair, e.open)}
		for endpoint, p := range e.pairs {
			if !p.IsDismissed() {
				c.depth = max(c.depth, p.Depth)
				c.pairs[endpoint] = p
			}
		}
		c.open = maps.Clone(c.pairs)
		c.crashes = countCrashes(c.open)
		out = append(out, c)
	}
	return out
}
