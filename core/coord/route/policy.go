package route

import (
	"fmt"
	"sync/atomic"
)

// The names of the policies, as settings give them.
const (
	NameExpect     = "expect"
	NameRoundRobin = "round-robin"
	NameLeastLoad  = "least-load"
	NamePrefixHash = "prefix-hash"
)

// Names lists the policies.
func Names() []string { return []string{NameExpect, NameRoundRobin, NameLeastLoad, NamePrefixHash} }

// ErrUnknownPolicy reports a policy that does not exist.
type ErrUnknownPolicy struct{ Name string }

// Error names the policies that exist.
func (e *ErrUnknownPolicy) Error() string {
	return fmt.Sprintf("no routing policy is called %q, choose one of %v", e.Name, Names())
}

// ByName returns a policy.
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

// RoundRobin takes the candidates in turn. It is a baseline.
type RoundRobin struct{ calls atomic.Uint64 }

// Choose returns the next candidate.
func (p *RoundRobin) Choose(_ Request, candidates []Candidate) int {
	return int((p.calls.Add(1) - 1) % uint64(len(candidates)))
}

// LeastLoad takes the candidate with the least work for its slots. It is a baseline.
type LeastLoad struct{ calls atomic.Uint64 }

// Choose returns the least loaded candidate; equal ones take turns.
func (p *LeastLoad) Choose(_ Request, candidates []Candidate) int {
	start := int((p.calls.Add(1) - 1) % uint64(len(candidates)))
	at := start
	for i := range candidates {
		j := (start + i) % len(candidates)
		if load(candidates[j]) < load(candidates[at]) {
			at = j
		}
	}
	return at
}

func load(c Candidate) float64 {
	return float64(c.Running)/float64(c.Slots) + float64(c.QueuedTokens)/c.PrefillRate
}

// PrefixHash places a request by the hash of its first piece alone. It is a baseline.
type PrefixHash struct{}

// Choose returns the rendezvous owner of the first piece.
func (p *PrefixHash) Choose(req Request, candidates []Candidate) int {
	if len(req.Chain) == 0 {
		return 0
	}
	return Owner(req.Chain[0], candidates)
}
