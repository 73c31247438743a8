package route

import (
	"time"

	"cicadastand.dev/core/state/prefix"
)

// MinTTFT selects the candidate with the lowest expected time to first token, which is
// the sum of the time for queued work, the wait for a slot and the time to compute or
// import the pieces missing in its cache. The rendezvous owner of the piece at
// Request.PlacementIndex is preferred, so that hosts without shared cache information
// choose the same endpoint.
type MinTTFT struct {
	// CrossDomainCost is added for endpoints outside of the host's failure domain.
	CrossDomainCost time.Duration
	// SlotWeight scales the cost of occupied slots while there are free ones.
	SlotWeight float64
}

// NewMinTTFT returns the policy with default weights.
func NewMinTTFT() *MinTTFT {
	return &MinTTFT{CrossDomainCost: time.Millisecond, SlotWeight: 0.1}
}

// Choose returns the candidate with the lowest expected time to first token.
func (p *MinTTFT) Choose(req Request, candidates []Candidate) int {
	owner := -1
	if len(req.Chain) > 0 {
		owner = Owner(req.Chain[req.PlacementIndex], candidates)
	}
	bestCost, bestIndex := 0.0, 0
	for i, c := range candidates {
		prefill := prefillCost(req, c)
		if i == owner {
			prefill *= 1 - req.OwnerHitRate
		}
		cost := prefill + p.waitCost(req, c)
		if i == 0 || cost < bestCost {
			bestCost, bestIndex = cost, i
		}
	}
	return bestIndex
}

// prefillCost returns the seconds that the engine needs for the uncached part of the
// prompt: pieces in the KV cache store are imported, the rest is computed.
func prefillCost(req Request, c Candidate) float64 {
	uncached := max(float64(req.Tokens)-c.CachedPieces*prefix.PieceTokens, 0)
	offloaded := (req.OffloadedPieces - c.CachedPieces) * prefix.PieceTokens
	if offloaded <= 0 || req.ImportRate <= 0 {
		return uncached / c.PrefillRate
	}
	return offloaded/req.ImportRate + (uncached-offloaded)/c.PrefillRate
}

// waitCost returns the seconds until the engine can start on the prompt.
func (p *MinTTFT) waitCost(req Request, c Candidate) float64 {
	cost := float64(c.QueuedTokens)/c.PrefillRate + p.slotCost(c)
	if c.FailureDomain != req.FailureDomain {
		cost += p.CrossDomainCost.Seconds()
	}
	return cost
}

// slotCost returns the seconds until a slot is free, or a small cost in proportion to the
// occupied slots if one is free already.
func (p *MinTTFT) slotCost(c Candidate) float64 {
	perRequest := c.ServiceTime.Seconds() / float64(c.Slots)
	excess := c.Running + 1 - c.Slots
	if excess > 0 {
		return float64(excess) * perRequest
	}
	return p.SlotWeight * perRequest * float64(c.Running) / float64(c.Slots)
}
