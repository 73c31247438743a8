package route

import (
	"time"

	"cicadastand.dev/core/state/prefix"
)

// Expect chooses the candidate with the lowest expected time to first token:
// the work that waits there, a free slot, and the pieces that it lacks. The
// rendezvous owner of the piece by which the request is placed is favoured, so
// that hosts without a common memory agree.
type Expect struct {
	// CrossDomain is the cost of leaving the host's failure domain.
	CrossDomain time.Duration
	// SlotShare weighs the use of slots below the point where they run out.
	SlotShare float64
}

// NewExpect returns the policy with its usual weights.
func NewExpect() *Expect {
	return &Expect{CrossDomain: time.Millisecond, SlotShare: 0.1}
}

// Choose returns the candidate with the lowest expected time to first token.
func (p *Expect) Choose(req Request, candidates []Candidate) int {
	favour := favours(req, candidates)
	best, at := 0.0, 0
	for i, c := range candidates {
		cost := p.Cost(req, c) - favour[i]*pieceCost(c)
		if i == 0 || cost < best {
			best, at = cost, i
		}
	}
	return at
}

// Cost returns the expected time to first token in seconds.
func (p *Expect) Cost(req Request, c Candidate) float64 {
	missed := max(float64(req.Tokens)-c.Held*prefix.PieceTokens, 0)
	cost := float64(c.QueuedTokens) / c.PrefillRate
	if kept := (req.Kept - c.Held) * prefix.PieceTokens; kept > 0 && req.ImportRate > 0 {
		missed -= kept
		cost += kept / req.ImportRate
	}
	cost += missed / c.PrefillRate
	cost += p.slotCost(c)
	if c.FailureDomain != req.FailureDomain {
		cost += p.CrossDomain.Seconds()
	}
	return cost
}

func (p *Expect) slotCost(c Candidate) float64 {
	each := c.ServiceTime.Seconds() / float64(c.Slots)
	over := c.Running + 1 - c.Slots
	if over > 0 {
		return float64(over) * each
	}
	return p.SlotShare * each * float64(c.Running) / float64(c.Slots)
}

// favours returns for each candidate how many pieces beyond those that it is
// known to hold it would hold if every host placed requests alike.
func favours(req Request, candidates []Candidate) []float64 {
	favour := make([]float64, len(candidates))
	if len(req.Chain) == 0 {
		return favour
	}
	owner := Owner(req.Chain[req.Place], candidates)
	favour[owner] = req.OwnerBelief * (float64(len(req.Chain)) - candidates[owner].Held)
	return favour
}

func pieceCost(c Candidate) float64 { return prefix.PieceTokens / c.PrefillRate }
