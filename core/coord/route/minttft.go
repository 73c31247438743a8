package route

import (
	"time"

	"cicadastand.dev/core/state/prefix"
)

// MinTTFT chooses the candidate with the lowest expected time to first token:
// the work that waits there, a free slot, and the pieces that it lacks. The
// rendezvous owner of the piece by which the request is placed is favoured, so
// that hosts without a common memory agree.
type MinTTFT struct {
	// CrossDomainCost is the cost of leaving the host's failure domain.
	CrossDomainCost time.Duration
	// SlotWeight weighs the use of slots below the point where they run out.
	SlotWeight float64
}

// NewMinTTFT returns the policy with its usual weights.
func NewMinTTFT() *MinTTFT {
	return &MinTTFT{CrossDomainCost: time.Millisecond, SlotWeight: 0.1}
}

// Choose returns the candidate with the lowest expected time to first token.
func (p *MinTTFT) Choose(req Request, candidates []Candidate) int {
	owner := -1
	if len(req.Chain) > 0 {
		owner = Owner(req.Chain[req.PlacementIndex], candidates)
	}
	best, at := 0.0, 0
	for i, c := range candidates {
		fill := prefillCost(req, c)
		if i == owner {
			fill *= 1 - req.OwnerHitRate
		}
		cost := fill + p.waitCost(req, c)
		if i == 0 || cost < best {
			best, at = cost, i
		}
	}
	return at
}

// prefillCost returns the seconds that the engine takes for the part of the prompt
// that it lacks: what is kept in the store is imported, the rest computed.
func prefillCost(req Request, c Candidate) float64 {
	missed := max(float64(req.Tokens)-c.CachedPieces*prefix.PieceTokens, 0)
	kept := (req.OffloadedPieces - c.CachedPieces) * prefix.PieceTokens
	if kept <= 0 || req.ImportRate <= 0 {
		return missed / c.PrefillRate
	}
	return kept/req.ImportRate + (missed-kept)/c.PrefillRate
}

// waitCost returns the seconds until the engine can begin with the prompt.
func (p *MinTTFT) waitCost(req Request, c Candidate) float64 {
	cost := float64(c.QueuedTokens)/c.PrefillRate + p.slotCost(c)
	if c.FailureDomain != req.FailureDomain {
		cost += p.CrossDomainCost.Seconds()
	}
	return cost
}

func (p *MinTTFT) slotCost(c Candidate) float64 {
	each := c.ServiceTime.Seconds() / float64(c.Slots)
	over := c.Running + 1 - c.Slots
	if over > 0 {
		return float64(over) * each
	}
	return p.SlotWeight * each * float64(c.Running) / float64(c.Slots)
}
