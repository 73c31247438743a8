package place

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/load"
)

const (
	// nearCandidates and farCandidates are how many engines of the host's own
	// failure domain and of others a hub is asked about: of the near ones the hub
	// knows the load to the millisecond.
	nearCandidates = 6
	farCandidates  = 2
	// farCost keeps requests in the domain while the hub of another one, which has
	// not heard of them, fills its own engines.
	farCost = 25 * time.Millisecond
)

// Candidate is an engine that may take a request.
type Candidate struct {
	// Index is that of the engine in the host's list.
	Index int
	ID    string
	// Tokens is how much it would have to read.
	Tokens int
	// Cost is that of the request there, but for the wait.
	Cost  time.Duration
	Rate  float64
	Slots int
}

// Query asks a hub for the engine of one request.
type Query struct {
	Rank int
	// Owner is the index of the engine that all hosts choose for the shared part
	// while nobody holds it. It is not sent.
	Owner      int
	Candidates []Candidate
}

// Ask returns what to ask a hub of a request.
//
// Load pattern: a burst in which each of many hosts sends to the engine that
// seems idle to all of them. One hub decides for a failure domain, and each
// decision counts in the next one.
func Ask(p Prompt, engines []Engine) Query {
	ranked := rank(p.Key, engines)
	owner, held := ranked[0], mostHeld(engines)
	near := lo.Filter(ranked, func(i, _ int) bool { return !engines[i].Remote })
	far := lo.Filter(ranked, func(i, _ int) bool { return engines[i].Remote })
	chosen := append(near[:min(nearCandidates, len(near))], far[:min(farCandidates, len(far))]...)
	for i, e := range engines {
		if e.Held > 0 && e.Held == held && !e.Remote && !slices.Contains(chosen, i) {
			chosen = append(chosen, i)
		}
	}
	q := Query{Rank: p.Rank, Owner: owner}
	for _, i := range chosen {
		e := engines[i]
		e.Work = load.Work{}
		cost := p.cost(e, i == owner && held < p.Shared)
		if e.Remote {
			cost += farCost
		}
		q.Candidates = append(q.Candidates, Candidate{
			Index: i, ID: e.ID, Tokens: max(0, p.Tokens-p.has(e)), Cost: cost, Rate: e.Rate, Slots: e.Slots,
		})
	}
	return q
}

// Answer is a hub's choice.
type Answer struct {
	// At is the position of the candidate.
	At int
	// Ahead is how many tokens are read there before the prompt, Wait the time
	// until it begins.
	Ahead int
	Wait  time.Duration
}

// Decide returns the candidate with the least cost, of which there is at least
// one, by the work at each of them.
func Decide(q Query, work []load.Work) Answer {
	var best Answer
	least := time.Duration(0)
	for i, c := range q.Candidates {
		wait := Wait(Engine{Slots: c.Slots, Rate: c.Rate, Work: work[i]}, q.Rank)
		if cost := c.Cost + wait; i == 0 || cost < least {
			least, best = cost, Answer{At: i, Ahead: work[i].Ahead(q.Rank), Wait: wait}
		}
	}
	return best
}

// Result returns the choice that a hub's answer stands for.
func Result(p Prompt, engines []Engine, q Query, a Answer) Choice {
	index := q.Candidates[a.At].Index
	e := engines[index]
	e.Work = load.Work{}
	return Choice{Index: index, Has: p.has(e), Ahead: a.Ahead, FirstToken: FirstToken(p, e) + a.Wait, Wait: a.Wait, Owner: q.Owner, Home: index == q.Owner}
}
