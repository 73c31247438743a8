package place

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/load"
)

const (
	// localCandidates and remoteCandidates are how many engines of the host's own
	// failure domain and of others a hub is asked about: of the near ones the hub
	// knows the load to the millisecond.
	localCandidates  = 6
	remoteCandidates = 2
	// remoteHubCost keeps requests in the domain while the hub of another one, which has
	// not heard of them, fills its own engines.
	remoteHubCost = 25 * time.Millisecond
)

// Candidate is an engine that may take a request.
type Candidate struct {
	// Index is that of the engine in the host's list.
	Index int
	ID    string
	// PrefillTokens is how much it would have to read.
	PrefillTokens int
	// Cost is that of the request there, but for the wait.
	Cost        time.Duration
	PrefillRate float64
	Slots       int
}

// Query asks a hub for the engine of one request.
type Query struct {
	Rank int
	// Owner is the index of the engine that all hosts choose for the shared part
	// while nobody holds it. It is not sent.
	Owner      int
	Candidates []Candidate
}

// NewQuery returns what to ask a hub of a request.
//
// Load pattern: a burst in which each of many hosts sends to the engine that
// seems idle to all of them. One hub decides for a failure domain, and each
// decision counts in the next one.
func NewQuery(p Prompt, engines []Engine) Query {
	ranked := rendezvousOrder(p.Key, engines)
	owner, maxCached := ranked[0], maxCachedTokens(engines)
	local := lo.Filter(ranked, func(i, _ int) bool { return !engines[i].Remote })
	remote := lo.Filter(ranked, func(i, _ int) bool { return engines[i].Remote })
	chosen := append(local[:min(localCandidates, len(local))], remote[:min(remoteCandidates, len(remote))]...)
	for i, e := range engines {
		if e.CachedTokens > 0 && e.CachedTokens == maxCached && !e.Remote && !slices.Contains(chosen, i) {
			chosen = append(chosen, i)
		}
	}
	q := Query{Rank: p.Rank, Owner: owner}
	for _, i := range chosen {
		e := engines[i]
		e.Work = load.Work{}
		cost := p.cost(e, i == owner && maxCached < p.SharedTokens)
		if e.Remote {
			cost += remoteHubCost
		}
		q.Candidates = append(q.Candidates, Candidate{
			Index: i, ID: e.ID, PrefillTokens: max(0, p.Tokens-p.reusableTokens(e)), Cost: cost, PrefillRate: e.PrefillRate, Slots: e.Slots,
		})
	}
	return q
}

// Decision is a hub's choice.
type Decision struct {
	// Position is the position of the candidate.
	Position int
	// TokensAhead is how many tokens are read there before the prompt, Wait the time
	// until it begins.
	TokensAhead int
	Wait        time.Duration
}

// Decide returns the candidate with the least cost, of which there is at least
// one, by the work at each of them.
func Decide(q Query, work []load.Work) Decision {
	var best Decision
	least := time.Duration(0)
	for i, c := range q.Candidates {
		wait := Wait(Engine{Slots: c.Slots, PrefillRate: c.PrefillRate, Work: work[i]}, q.Rank)
		if cost := c.Cost + wait; i == 0 || cost < least {
			least, best = cost, Decision{Position: i, TokensAhead: work[i].TokensAhead(q.Rank), Wait: wait}
		}
	}
	return best
}

// ChoiceFrom returns the choice that a hub's answer stands for.
func ChoiceFrom(p Prompt, engines []Engine, q Query, d Decision) Choice {
	index := q.Candidates[d.Position].Index
	e := engines[index]
	e.Work = load.Work{}
	return Choice{Index: index, ReusableTokens: p.reusableTokens(e), TokensAhead: d.TokensAhead, FirstToken: FirstToken(p, e) + d.Wait, Wait: d.Wait, Owner: q.Owner, IsOwner: index == q.Owner}
}
