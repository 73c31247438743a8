package place

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/load"
)

const (
	// localCandidates and remoteCandidates limit how many engines of the host's own
	// failure domain and of other domains a query names. There are more local ones
	// because the hub's information on their load is only milliseconds old.
	localCandidates  = 6
	remoteCandidates = 2
	// remoteHubCost is a penalty on engines of other domains: the hub there does not
	// know of this request yet and assigns its own requests to the same engines.
	remoteHubCost = 25 * time.Millisecond
)

// Candidate is an engine that a hub may choose for a request.
type Candidate struct {
	// Index is the position of the engine in the host's list. It is not sent.
	Index int
	ID    string
	// PrefillTokens is the number of prompt tokens that the engine would compute.
	PrefillTokens int
	// Cost is the cost of the request at the engine without the queueing delay.
	Cost        time.Duration
	PrefillRate float64
	Slots       int
	// Memory is the number of KV cache tokens that the request adds at the engine, and
	// Capacity the size of the engine's KV cache; 0 if it is not known.
	Memory   int
	Capacity int
	// Comfortable is as in Engine.
	Comfortable int
}

// Query asks a hub to choose the engine for one request.
type Query struct {
	Rank int
	// Holds is set if the host sends the request only to an engine that does not lack
	// memory for it.
	Holds bool
	// Owner is the index of the engine that all hosts prefer for the shared prefix
	// while no engine has it cached. It is not sent.
	Owner      int
	Candidates []Candidate
}

// NewQuery returns the query that lets a hub place a request.
//
// In a burst, many hosts that decide for themselves send to the same engine, which
// seems idle to all of them. A hub decides for its whole failure domain instead and
// takes its earlier decisions into account.
func NewQuery(p Prompt, engines []Engine) Query {
	ranked := rendezvousOrder(p.Key, engines)
	owner, maxCached := ranked[0], maxCachedTokens(engines)
	p.meanMemory = meanMemory(len(engines), func(i int) *load.Work { return &engines[i].Work }, p.memory(engines[owner]))
	ranked = withRoomFirst(p, engines, ranked)
	local := lo.Filter(ranked, func(i, _ int) bool { return !engines[i].Remote })
	remote := lo.Filter(ranked, func(i, _ int) bool { return engines[i].Remote })
	chosen := append(local[:min(localCandidates, len(local))], remote[:min(remoteCandidates, len(remote))]...)
	for i, e := range engines {
		if e.CachedTokens > 0 && e.CachedTokens == maxCached && !e.Remote && !slices.Contains(chosen, i) {
			chosen = append(chosen, i)
		}
	}
	q := Query{Rank: p.Rank, Holds: p.Holds, Owner: owner}
	for _, i := range chosen {
		e := engines[i]
		e.Work = load.Work{}
		cost := p.cost(e, i == owner && maxCached < p.SharedTokens)
		if e.Remote {
			cost += remoteHubCost
		}
		q.Candidates = append(q.Candidates, Candidate{
			Index: i, ID: e.ID, PrefillTokens: max(0, p.Tokens-p.reusableTokens(e)), Cost: cost, PrefillRate: e.PrefillRate, Slots: e.Slots, Memory: p.memory(e), Capacity: e.Capacity, Comfortable: e.Comfortable,
		})
	}
	return q
}

// withRoomFirst moves the engines that lack memory for the prompt to the end of an order.
func withRoomFirst(p Prompt, engines []Engine, order []int) []int {
	lacks := func(i int) bool { return p.lacking(engines[i]) > 0 }
	if !slices.ContainsFunc(order, lacks) {
		return order
	}
	full, room := lo.FilterReject(order, func(i, _ int) bool { return lacks(i) })
	return append(room, full...)
}

// Decision is a hub's response to a Query.
type Decision struct {
	// Position is the index of the chosen engine in Query.Candidates.
	Position int
	// TokensAhead is the number of queued prompt tokens ahead of the prompt, and Wait
	// the expected queueing delay.
	TokensAhead int
	Wait        time.Duration
	// Lacking is the number of KV cache tokens that the engine lacks for the request.
	Lacking int
}

// Decide returns the candidate with the least cost, given the work at each of
// them. There must be at least one candidate.
func Decide(q Query, work []load.Work) Decision {
	var best Decision
	least := time.Duration(0)
	mean := meanMemory(len(work), func(i int) *load.Work { return &work[i] }, q.Candidates[0].Memory)
	for i, c := range q.Candidates {
		e := Engine{Slots: c.Slots, PrefillRate: c.PrefillRate, Comfortable: c.Comfortable, Work: work[i], Capacity: c.Capacity}
		wait := Wait(e, q.Rank)
		if cost := c.Cost + wait + stall(e, q.Rank, c.PrefillTokens) + crowding(e) + e.memoryCost(c.Memory, mean); i == 0 || cost < least {
			least, best = cost, Decision{Position: i, TokensAhead: work[i].TokensAhead(q.Rank), Wait: wait, Lacking: e.lacking(c.Memory, mean)}
		}
	}
	return best
}

// ChoiceFrom converts a hub's decision into the host's own choice.
func ChoiceFrom(p Prompt, engines []Engine, q Query, d Decision) Choice {
	index := q.Candidates[d.Position].Index
	e := engines[index]
	e.Work = load.Work{}
	return Choice{Index: index, ReusableTokens: p.reusableTokens(e), TokensAhead: d.TokensAhead, FirstToken: FirstToken(p, e) + d.Wait, Wait: d.Wait, Memory: q.Candidates[d.Position].Memory, Lacking: d.Lacking, Owner: q.Owner, IsOwner: index == q.Owner}
}
