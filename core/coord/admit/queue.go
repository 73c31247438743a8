package admit

import (
	"time"

	"cicadastand.dev/core/state/fleet"
)

// Queue is the decision behind a gate: who is admitted next, and who is refused.
// It takes the time from outside, and is not safe for concurrent use.
type Queue struct {
	cfg      QueueConfig
	ranks    rankPair[*fairQueue]
	inFlight rankPair[int]
	credit   float64
	sequence uint64
	rates    rankPair[rate]
}

// QueueConfig sets up a line.
type QueueConfig struct {
	// Capacity is how many requests may be at the engines at once.
	Capacity int
	// OtherFloor is the share of dispatches kept for work that is not urgent.
	OtherFloor float64
	// UrgentReserve is the share of the capacity that only urgent work may use.
	UrgentReserve float64
	// MaxQueue bounds the waiters of one rank.
	MaxQueue int
}

// NewQueue returns an empty line.
func NewQueue(cfg QueueConfig) *Queue {
	q := &Queue{cfg: cfg}
	for i := range q.ranks {
		q.ranks[i] = newFairQueue()
	}
	return q
}

// SetCapacity changes how many requests may be at the engines at once.
func (q *Queue) SetCapacity(n int) {
	q.cfg.Capacity = n
	q.dispatch()
}

// SetFloor changes the share of dispatches kept for work that is not urgent.
func (q *Queue) SetFloor(floor float64) { q.cfg.OtherFloor = floor }

// Enqueue asks for admission. It returns ErrOverload if the request would miss its
// target, or else calls grant once the request is admitted, maybe at once.
func (q *Queue) Enqueue(req Request, now time.Time, grant func()) (*Waiter, error) {
	queue := *q.ranks.of(req.Rank)
	if queue.len() >= q.cfg.MaxQueue {
		return nil, &ErrOverload{RetryAfter: q.DrainTime(req.Rank, queue.len(), now), Reason: "the queue is full"}
	}
	// An account without a backlog gets its share soon, however long the line is.
	if queue.backlog(req.Account) == 0 {
		req.MaxWait = max(req.MaxWait, req.MaxWaitWithoutBacklog)
	} else {
		wait := q.DrainTime(req.Rank, queue.ahead(req)+1, now)
		if wait > req.MaxWait {
			return nil, &ErrOverload{RetryAfter: wait - req.MaxWait, Reason: "the target can't be met"}
		}
	}
	q.sequence++
	w := &Waiter{req: req, sequence: q.sequence, grant: grant}
	queue.push(w)
	q.dispatch()
	return w, nil
}

// MaxWait returns how long the request may wait for admission.
func (w *Waiter) MaxWait() time.Duration { return w.req.MaxWait }

// Remove takes a request out of the line. It reports true if the request was
// admitted before.
func (q *Queue) Remove(w *Waiter) bool {
	if w.granted {
		return true
	}
	(*q.ranks.of(w.req.Rank)).remove(w)
	return false
}

// Release says that an admitted request of a rank has left the engines.
func (q *Queue) Release(rank fleet.Rank, now time.Time) {
	*q.inFlight.of(rank)--
	q.rates.of(rank).add(now)
	q.dispatch()
}

// Stats returns the current counts.
func (q *Queue) Stats() Stats {
	return Stats{
		Capacity:       q.cfg.Capacity,
		UrgentInFlight: *q.inFlight.of(fleet.RankUrgent),
		OtherInFlight:  *q.inFlight.of(fleet.RankOther),
		UrgentQueued:   (*q.ranks.of(fleet.RankUrgent)).len(),
		OtherQueued:    (*q.ranks.of(fleet.RankOther)).len(),
	}
}

// DrainTime estimates how long n requests of a rank take to be admitted. Urgent
// work takes every place that becomes free but for the floor of the other work.
func (q *Queue) DrainTime(rank fleet.Rank, n int, now time.Time) time.Duration {
	perSecond := q.rates.of(rank).perSecond(now)
	if rank == fleet.RankUrgent {
		perSecond += q.rates.of(fleet.RankOther).perSecond(now)
		perSecond *= 1 - q.cfg.OtherFloor
	}
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// dispatch admits waiters while there is room.
func (q *Queue) dispatch() {
	for {
		rank, ok := q.nextRank()
		if !ok {
			return
		}
		w := (*q.ranks.of(rank)).pop()
		*q.inFlight.of(rank)++
		w.granted = true
		w.grant()
	}
}

// nextRank returns the rank to serve next. Urgent work goes first, but each
// urgent dispatch that passes over other work earns that work a credit.
func (q *Queue) nextRank() (fleet.Rank, bool) {
	urgent := (*q.ranks.of(fleet.RankUrgent)).len() > 0
	other := (*q.ranks.of(fleet.RankOther)).len() > 0
	total := *q.inFlight.of(fleet.RankUrgent) + *q.inFlight.of(fleet.RankOther)
	room := q.cfg.Capacity - total
	switch {
	case room <= 0 || !urgent && !other:
		return "", false
	case urgent && !other:
		return fleet.RankUrgent, true
	case !urgent:
		return fleet.RankOther, room > q.reserve()
	case q.credit >= 1:
		q.credit--
		return fleet.RankOther, true
	default:
		q.credit += q.cfg.OtherFloor / (1 - q.cfg.OtherFloor)
		return fleet.RankUrgent, true
	}
}

// reserve returns the part of the capacity that only urgent work may use.
func (q *Queue) reserve() int { return int(float64(q.cfg.Capacity) * q.cfg.UrgentReserve) }
