// Package burst simulates the hosts and engines of a large site in a burst of long prompts,
// with the decisions of the hosts on where a request goes, whether it waits and whether it is
// rejected.
package burst

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cicadastand.dev/core/coord/line"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/coord/shed"
)

// The load: 90 engines receive 84 long prompts and 750 short ones per second. For
// 6.6 s there are 2.1 times as many long ones, and one account sends 6.8 times its share of
// them. Its prompts are the longest, up to 80,000 tokens.
const (
	engineCount, domainCount, hostCount = 90, 3, 82
	slots, kvTokens                     = 16, 208_136
	prefillRate                         = 85.2 // tokens per millisecond
	chunkTokens                         = 4096
	decodeStep                          = 3400 * time.Microsecond
	burstFrom, burstEnd, arrivalsEnd    = 2 * time.Second, 8600 * time.Millisecond, 10 * time.Second
	statusInterval, roomInterval        = 60 * time.Millisecond, 50 * time.Millisecond
	cacheLifetime                       = 2500 * time.Millisecond
	largeShare                          = 0.2 // of the large account in calm times
	largeAccount                        = "a"
	maxSends                            = 4 // of a client
)

// class is a class of requests with the mean lengths of their prompts.
type class struct {
	rank, unique, shared, output int
	target, deadline             time.Duration
}

// The indices of kinds.
const (
	Long = iota
	Short
)

var kinds = [2]class{
	{rank: 1, unique: 6618, shared: 5382, output: 38, target: 1500 * time.Millisecond, deadline: 12 * time.Second},
	{rank: 0, unique: 1800, shared: 568, output: 2, target: 400 * time.Millisecond, deadline: 2500 * time.Millisecond},
}

// request is a client's request, with its state at its engine.
type request struct {
	class
	kind, host, key, memory, prefill int
	account                          string
	arrived, tried, waitedFrom       time.Duration
	left, made, sends                int
	first                            time.Duration
	waiter                           *line.Waiter
}

func (r *request) work() load.Work {
	if r.first > 0 {
		return load.Work{Running: 1, Memory: r.memory}
	}
	w := load.Work{Waiting: 1, Memory: r.memory}
	w.Tokens[r.rank] = r.prefill
	return w
}

// simulation is one run; capacity is what placement knows of the engines' memory.
type simulation struct {
	rng      *rand.Rand
	capacity int
	engines  []*engine
	status   [engineCount][domainCount]load.Work
	lines    [hostCount]*line.Table
	pending  []*request
	all      []*request
	rejected [2]int
	waits    int
}

func (s *simulation) arrive(kind int, account string, now time.Duration) {
	k := kinds[kind]
	if account == largeAccount {
		k.unique *= 3
	}
	k.unique = min(75_000, int(float64(k.unique)*s.rng.ExpFloat64())+1)
	// Each account has 2,000 prefixes of each kind.
	key := len(account)*10_000 + 5000*kind + s.rng.IntN(2000)
	r := &request{class: k, kind: kind, host: s.rng.IntN(hostCount), account: account, key: key, arrived: now, tried: now}
	s.all, s.pending = append(s.all, r), append(s.pending, r)
}

func (s *simulation) step(now time.Duration) {
	for i, e := range s.engines {
		e.runUntil(now)
		e.sent = [domainCount]load.Work{}
		for _, r := range slices.Concat(e.queue, e.running) {
			d := r.host % domainCount
			e.sent[d] = e.sent[d].Add(r.work())
		}
		if now%statusInterval == 0 {
			s.status[i] = e.sent
		}
	}
	waiting := s.pending
	s.pending = nil
	for _, r := range waiting {
		if r.tried > now || !s.send(r, now) {
			s.pending = append(s.pending, r)
		}
	}
}

// send sends a request, rejects it, or returns false if it waits or its client retries later.
func (s *simulation) send(r *request, now time.Duration) bool {
	p := place.Prompt{Tokens: r.unique + r.shared, SharedTokens: r.shared, OutputTokens: r.output, Rank: r.rank, Key: fmt.Sprint(r.key)}
	list, domain, waiting := make([]place.Engine, engineCount), r.host%domainCount, 0.0
	for i, e := range s.engines {
		w := e.sent[domain]
		for d, other := range s.status[i] {
			if d != domain {
				w = w.Add(other)
			}
		}
		waiting += float64(w.Waiting) / engineCount
		list[i] = place.Engine{ID: fmt.Sprint("e", i), Slots: slots, PrefillRate: 1000 * prefillRate, Work: w, Capacity: s.capacity, Remote: i%domainCount != domain}
		if at, ok := e.known[r.key]; ok && now-at < cacheLifetime {
			list[i].CachedTokens = r.shared
		}
	}
	p.Holds = s.capacity > 0 && !place.IsSmall(p.Tokens+r.output, list[0])
	if r.waiter != nil && !r.waiter.IsNext() && now-r.waitedFrom < r.target/2 {
		r.tried = now + roomInterval
		return false
	}
	q := place.NewQuery(p, list)
	work := make([]load.Work, len(q.Candidates))
	for i, c := range q.Candidates {
		work[i] = list[c.Index].Work
	}
	c := place.ChoiceFrom(p, list, q, place.Decide(q, work))
	in := shed.Request{Waiting: waiting, ExpectedFirstToken: c.FirstToken, ExpectedWait: c.Wait, Elapsed: now - r.waitedFrom, Target: r.target, Remaining: r.deadline - (now - r.arrived), Jitter: s.rng.Float64()}
	ok, after := shed.Decide(in)
	if ok && p.Holds && c.Lacking > 0 {
		if shed.MaxHold(in) >= roomInterval {
			if r.waiter == nil {
				r.waiter = s.lines[r.host].Join(line.Request{Account: r.account, Rank: r.rank, Memory: p.Tokens + r.output})
				s.waits++
			}
			r.tried = now + roomInterval
			return false
		}
		if !place.IsTight(c.Lacking, s.capacity) {
			ok, after = false, shed.RetryForRoom(in, time.Duration(float64(c.Lacking)/prefillRate)*time.Millisecond)
		}
	}
	if r.waiter != nil {
		r.waiter.Leave(ok)
		r.waiter = nil
	}
	if !ok {
		r.sends++
		r.tried, r.waitedFrom = now+after, now+after
		if r.sends < maxSends && r.tried-r.arrived < r.deadline {
			return false
		}
		s.rejected[r.kind]++
		return true
	}
	e := s.engines[c.Index]
	r.memory, r.prefill = c.Memory, p.Tokens-c.ReusableTokens
	e.queue, e.sent[domain], e.known[r.key] = append(e.queue, r), e.sent[domain].Add(r.work()), now
	return true
}

// Result counts requests, by kind where it is an array.
type Result struct {
	Preempted int
	// Waited is the number of requests that waited in a host for memory of an engine.
	Waited int
	InTime [2]int
	Late   [2]int
	// Rejected requests were rejected as often as their clients retry. They are among Lost
	// ones, which had no first token before their deadline.
	Rejected [2]int
	Lost     [2]int
}

// Run simulates the load. Placement goes by the memory of engines if byMemory is set.
func Run(byMemory bool, seed uint64) Result {
	s := &simulation{rng: rand.New(rand.NewPCG(1, seed))}
	if byMemory {
		s.capacity = kvTokens
	}
	for range engineCount {
		s.engines = append(s.engines, &engine{used: make(map[int]time.Duration), size: make(map[int]int), known: make(map[int]time.Duration)})
	}
	for i := range s.lines {
		s.lines[i] = line.New()
	}
	for now := time.Millisecond; now < arrivalsEnd+5*time.Second; now += time.Millisecond {
		if now < arrivalsEnd {
			rise, factor := 1.0, 1.0
			if now > burstFrom && now < burstEnd {
				rise, factor = 2.1, 6.8
			}
			for _, a := range []struct {
				kind    int
				account string
				rate    float64
			}{{Long, largeAccount, 84 * rise * largeShare * factor}, {Long, fmt.Sprintf("%*d", 2+s.rng.IntN(15), 0), 84 * rise * (1 - largeShare)}, {Short, fmt.Sprintf("%*d", 2+s.rng.IntN(15), 0), 750}} {
				for range int(a.rate/1000 + s.rng.Float64()) {
					s.arrive(a.kind, a.account, now)
				}
			}
		}
		s.step(now)
	}
	out := Result{Rejected: s.rejected, Waited: s.waits}
	for _, e := range s.engines {
		out.Preempted += e.preempted
	}
	for _, r := range s.all {
		switch took := r.first - r.arrived; {
		case r.first == 0 || took > r.deadline:
			out.Lost[r.kind]++
		case took > r.target:
			out.Late[r.kind]++
		default:
			out.InTime[r.kind]++
		}
	}
	return out
}
