package route

import (
	"fmt"
	"sync/atomic"
)

// Policy names, as written in the settings.
const (
	// NameExpect selects MinTTFT.
	NameExpect     = "expect"
	NameRoundRobin = "round-robin"
	NameLeastLoad  = "least-load"
	NamePrefixHash = "prefix-hash"
)

// Names returns the names of all policies.
func Names() []string { return []string{NameExpect, NameRoundRobin, NameLeastLoad, NamePrefixHash} }

// ErrUnknownPolicy reports a policy name that does not exist.
type ErrUnknownPolicy struct{ Name string }

// Error lists the valid names.
func (e *ErrUnknownPolicy) Error() string {
	return fmt.Sprintf("no routing policy is called %q, choose one of %v", e.Name, Names())
}

// ByName returns a new instance of the named policy.
func ByName(name string) (Policy, error) {
	switch name {
	case NameExpect:
		return NewMinTTFT(), nil
	case NameRoundRobin:
		return &RoundRobin{}, nil
	case NameLeastLoad:
		return &LeastLoad{}, nil
	case NamePrefixHash:
		return &PrefixHash{}, nil
	default:
		return nil, &ErrUnknownPolicy{Name: name}
	}
}

// RoundRobin selects the candidates in turn. It serves as a baseline for comparison.
type RoundRobin struct{ calls atomic.Uint64 }

// Choose returns the next candidate.
func (p *RoundRobin) Choose(_ Request, candidates []Candidate) int {
	return int((p.calls.Add(1) - 1) % uint64(len(candidates)))
}

// LeastLoad selects the candidate with the lowest load relative to its capacity. It
// serves as a baseline for comparison.
type LeastLoad struct{ calls atomic.Uint64 }

// Choose returns the least loaded candidate, alternating between equally loaded ones.
func (p *LeastLoad) Choose(_ Request, candidates []Candidate) int {
	start := int((p.calls.Add(1) - 1) % uint64(len(candidates)))
	best := start
	for i := range candidates {
		j := (start + i) % len(candidates)
		if load(candidates[j]) < load(candidates[best]) {
			best = j
		}
	}
	return best
}

// load adds the share of occupied slots and the seconds to prefill the queued tokens.
func load(c Candidate) float64 {
	return float64(c.Running)/float64(c.Slots) + float64(c.QueuedTokens)/c.PrefillRate
}

// PrefixHash selects by the hash of the first piece of the prompt only. It serves as a
// baseline for comparison.
type PrefixHash struct{}

// Choose returns the rendezvous hashing owner of the first piece.
func (p *PrefixHash) Choose(req Request, candidates []Candidate) int {
	if len(req.Chain) == 0 {
		return 0
	}
	return Owner(req.Chain[0], candidates)
}
