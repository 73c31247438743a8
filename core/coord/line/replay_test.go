package line_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/line"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/coord/shed"
)

// The replayed load: 90 engines receive 84 long prompts and 750 short ones per second. For
// 6.6 s there are 2.1 times as many long ones, and one account sends 6.8 times its share of
// them. Its prompts are the longest, up to 80,000 tokens.
const (
	replayEngines, replayDomains, replayHosts = 90, 3, 82
	replaySlots, replayMemory                 = 16, 208_136
	replayRate                                = 85.2 // tokens per millisecond
	replayChunk                               = 4096
	decodeStep                                = 3400 * time.Microsecond
	burstFrom, burstEnd, replayEnd            = 2 * time.Second, 8600 * time.Millisecond, 10 * time.Second
	statusInterval, roomInterval              = 60 * time.Millisecond, 30 * time.Millisecond
	cacheLifetime                             = 2500 * time.Millisecond
	largeShare                                = 0.2 // share of the large account in calm times
)

type replayKind struct {
	rank, unique, shared, output int
	target, deadline             time.Duration
}

var replayKinds = [2]replayKind{
	{rank: 1, unique: 6618, shared: 5382, output: 38, target: 1500 * time.Millisecond, deadline: 12 * time.Second},
	{rank: 0, unique: 1800, shared: 568, output: 2, target: 400 * time.Millisecond, deadline: 2500 * time.Millisecond},
}

type replayRequest struct {
	replayKind
	kind, host, key, memory, prefill int
	account                          string
	arrived, tried, waitedFrom       time.Duration
	left, made, sends                int
	first                            time.Duration
	waiter                           *line.Waiter
}

func (r *replayRequest) work() load.Work {
	if r.first > 0 {
		return load.Work{Running: 1, Memory: r.memory}
	}
	w := load.Work{Waiting: 1, Memory: r.memory}
	w.Tokens[r.rank] = r.prefill
	return w
}

// replayEngine computes prompts in chunks, the most urgent first, and makes one token of each
// stream with each chunk. Slots go to the most urgent requests, whether they fit or not. If
// running requests exceed the memory, the newest of the least urgent is preempted.
type replayEngine struct {
	now            time.Duration
	queue, running []*replayRequest
	used           map[int]time.Duration // last use of each cached part
	size           map[int]int
	sent           [replayDomains]load.Work // by hosts of each domain
	known          map[int]time.Duration    // what hosts know to be cached
	preempted      int
}

func (e *replayEngine) held() int {
	sum, keys := 0, make(map[int]bool)
	for _, r := range e.running {
		sum += r.unique + r.made - min(r.unique, r.left)
		if !keys[r.key] {
			keys[r.key] = true
			sum += r.shared
		}
	}
	return sum
}

func (e *replayEngine) admit() {
	for len(e.running) < replaySlots && len(e.queue) > 0 {
		r := slices.MinFunc(e.queue, func(a, b *replayRequest) int { return cmp.Or(a.rank-b.rank, cmp.Compare(a.arrived, b.arrived)) })
		e.queue = slices.DeleteFunc(e.queue, func(o *replayRequest) bool { return o == r })
		if r.left = r.unique; e.used[r.key] == 0 {
			r.left += r.shared
		}
		e.used[r.key], e.size[r.key] = e.now, r.shared
		e.running = append(e.running, r)
	}
}

// makeRoom preempts requests until the others fit, and evicts cached parts.
func (e *replayEngine) makeRoom() {
	held := e.held()
	for ; held > replayMemory && len(e.running) > 1; held = e.held() {
		newest := 0
		for i, r := range e.running {
			if r.rank >= e.running[newest].rank {
				newest = i
			}
		}
		e.queue = append(e.queue, e.running[newest])
		e.running = slices.Delete(e.running, newest, newest+1)
		e.preempted++
	}
	for _, r := range e.running {
		e.used[r.key] = e.now
	}
	var idle []int
	for key, at := range e.used {
		if at < e.now {
			held += e.size[key]
			idle = append(idle, key)
		}
	}
	slices.SortFunc(idle, func(a, b int) int { return cmp.Or(cmp.Compare(e.used[a], e.used[b]), a-b) })
	for _, key := range idle {
		if held <= replayMemory {
			return
		}
		held -= e.size[key]
		delete(e.used, key)
	}
}

func (e *replayEngine) runUntil(end time.Duration) {
	for e.admit(); e.now < end; e.admit() {
		if len(e.running) == 0 {
			e.now = end
			return
		}
		budget := replayChunk
		order := slices.Clone(e.running)
		slices.SortStableFunc(order, func(a, b *replayRequest) int { return a.rank - b.rank })
		for _, r := range order {
			n := min(budget, r.left)
			r.left, budget = r.left-n, budget-n
		}
		e.now += decodeStep + time.Duration(float64(replayChunk-budget)/replayRate*float64(time.Millisecond))
		for _, r := range e.running {
			if r.left == 0 {
				r.made++
				r.first = cmp.Or(r.first, e.now)
			}
		}
		e.running = slices.DeleteFunc(e.running, func(r *replayRequest) bool { return r.left == 0 && r.made >= r.output })
		e.makeRoom()
	}
}

// replay is one run; capacity is what placement knows of the engines' memory.
type replay struct {
	rng      *rand.Rand
	capacity int
	engines  []*replayEngine
	status   [replayEngines][replayDomains]load.Work
	lines    [replayHosts]*line.Table
	pending  []*replayRequest
	all      []*replayRequest
	rejected [2]int
	waits    int
}

func (s *replay) arrive(kind int, account string, now time.Duration) {
	k := replayKinds[kind]
	if account == "a" {
		k.unique *= 3
	}
	k.unique = min(75_000, int(float64(k.unique)*s.rng.ExpFloat64())+1)
	// Each account has 2,000 prefixes of each kind.
	key := len(account)*10_000 + 5000*kind + s.rng.IntN(2000)
	r := &replayRequest{replayKind: k, kind: kind, host: s.rng.IntN(replayHosts), account: account, key: key, arrived: now, tried: now}
	s.all, s.pending = append(s.all, r), append(s.pending, r)
}

func (s *replay) step(now time.Duration) {
	for i, e := range s.engines {
		e.runUntil(now)
		e.sent = [replayDomains]load.Work{}
		for _, r := range slices.Concat(e.queue, e.running) {
			d := r.host % replayDomains
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
func (s *replay) send(r *replayRequest, now time.Duration) bool {
	p := place.Prompt{Tokens: r.unique + r.shared, SharedTokens: r.shared, OutputTokens: r.output, Rank: r.rank, Key: fmt.Sprint(r.key)}
	list, domain, waiting := make([]place.Engine, replayEngines), r.host%replayDomains, 0.0
	for i, e := range s.engines {
		w := e.sent[domain]
		for d, other := range s.status[i] {
			if d != domain {
				w = w.Add(other)
			}
		}
		waiting += float64(w.Waiting) / replayEngines
		list[i] = place.Engine{ID: fmt.Sprint("e", i), Slots: replaySlots, PrefillRate: 1000 * replayRate, Work: w, Capacity: s.capacity, Remote: i%replayDomains != domain}
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
		ok, after = false, shed.RetryForRoom(in, time.Duration(float64(c.Lacking)/replayRate)*time.Millisecond)
	}
	if r.waiter != nil {
		r.waiter.Leave(ok)
		r.waiter = nil
	}
	if !ok {
		r.sends++
		r.tried, r.waitedFrom = now+after, now+after
		if r.sends < 4 && r.tried-r.arrived < r.deadline {
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

type replayResult struct {
	preempted, waits             int
	inTime, late, rejected, lost [2]int
}

func runReplay(capacity int) replayResult {
	s := &replay{rng: rand.New(rand.NewPCG(1, 2)), capacity: capacity}
	for range replayEngines {
		s.engines = append(s.engines, &replayEngine{used: make(map[int]time.Duration), size: make(map[int]int), known: make(map[int]time.Duration)})
	}
	for i := range s.lines {
		s.lines[i] = line.New()
	}
	for now := time.Millisecond; now < replayEnd+5*time.Second; now += time.Millisecond {
		if now < replayEnd {
			rise, factor := 1.0, 1.0
			if now > burstFrom && now < burstEnd {
				rise, factor = 2.1, 6.8
			}
			for _, a := range []struct {
				kind    int
				account string
				rate    float64
			}{{0, "a", 84 * rise * largeShare * factor}, {0, fmt.Sprintf("%*d", 2+s.rng.IntN(15), 0), 84 * rise * (1 - largeShare)}, {1, fmt.Sprintf("%*d", 2+s.rng.IntN(15), 0), 750}} {
				for range int(a.rate/1000 + s.rng.Float64()) {
					s.arrive(a.kind, a.account, now)
				}
			}
		}
		s.step(now)
	}
	out := replayResult{rejected: s.rejected, waits: s.waits}
	for _, e := range s.engines {
		out.preempted += e.preempted
	}
	for _, r := range s.all {
		switch took := r.first - r.arrived; {
		case r.first == 0 || took > r.deadline:
			out.lost[r.kind]++
		case took > r.target:
			out.late[r.kind]++
		default:
			out.inTime[r.kind]++
		}
	}
	return out
}

// In a burst of long prompts, requests that were sent to full engines had others preempted:
// their prompts were computed again, and short prompts were late as well.
func TestBurstOfLongPromptsPreemptsFewRequests(t *testing.T) {
	is := is.New(t)
	before, after := runReplay(0), runReplay(replayMemory)
	t.Logf("without memory: %+v", before)
	t.Logf("with memory:    %+v", after)
	is.True(before.preempted > 100)
	is.True(after.preempted*8 < before.preempted)
	for kind := range replayKinds {
		is.True(after.inTime[kind] >= before.inTime[kind])
		is.True(after.lost[kind] <= before.lost[kind])
		is.True(after.rejected[kind] <= before.rejected[kind])
	}
}
