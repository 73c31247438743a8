package admit

import (
	"time"

	"cicadastand.dev/core/state/fleet"
)

// Queue decides which request is admitted next and which are rejected. Callers
// pass in the current time. It is not safe for concurrent use.
type Queue struct {
	cfg      QueueConfig
	ranks    rankPair[*fairQueue]
	inFlight rankPair[int]
	// credit is the number of dispatches, as a fraction, that requests of RankOther have
	// earned under OtherFloor and not used yet.
	credit float64
	// sequence is the number of requests enqueued; it breaks ties in the fair queues.
	sequence uint64
	rates    rankPair[rate]
}

// QueueConfig configures a Queue.
type QueueConfig struct {
	// Capacity is how many requests may be in flight at the engines.
	Capacity int
	// OtherFloor is the minimum share of dispatches that go to requests of
	// fleet.RankOther while both ranks are queued.
	OtherFloor float64
	// UrgentReserve is the share of the capacity that only urgent requests may use.
	UrgentReserve float64
	// MaxQueue is the maximum number of queued requests of each rank.
	MaxQueue int
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	q := &Queue{cfg: cfg}
	for i := range q.ranks {
		q.ranks[i] = newFairQueue()
	}
	return q
}

// SetCapacity sets how many requests may be in flight, and admits waiters if there
// is room now.
func (q *Queue) SetCapacity(n int) {
	q.cfg.Capacity = n
	q.dispatch()
}

// SetFloor sets the minimum share of dispatches that go to requests of
// fleet.RankOther.
func (q *Queue) SetFloor(floor float64) { q.cfg.OtherFloor = floor }

// Enqueue adds a request. It returns ErrOverload if the queue is full or the
// request would miss its latency target. Otherwise it calls grant when the
// request is admitted, which may be before Enqueue returns.
func (q *Queue) Enqueue(req Request, now time.Time, grant func()) (*Waiter, error) {
	queue := *q.ranks.of(req.Rank)
	if queue.len() >= q.cfg.MaxQueue {
		return nil, &ErrOverload{RetryAfter: q.DrainTime(req.Rank, queue.len(), now), Reason: "the queue is full"}
	}
	// Fair queueing serves an account without a backlog soon, however long the
	// queue is, so the estimate of its wait doesn't apply.
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

// Remove takes a request out of the queue. It reports true if the request has
// been admitted already.
func (q *Queue) Remove(w *Waiter) bool {
	if w.granted {
		return true
	}
	(*q.ranks.of(w.req.Rank)).remove(w)
	return false
}

// Release records that an admitted request of a rank has finished, and admits the
// next waiter.
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

// DrainTime estimates how long it takes to admit n requests of a rank, or returns 0
// while the rate isn't known. Urgent requests get every slot that becomes free,
// except for the floor of RankOther.
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

// dispatch admits waiters while there is capacity.
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

// nextRank returns the rank to admit next, and false if nothing can be admitted.
// Urgent requests go first, but each urgent dispatch while requests of RankOther
// are queued adds to the credit of RankOther, which goes first once the credit
// reaches 1.
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

// reserve returns the number of slots that only urgent requests may use.
func (q *Queue) reserve() int { return int(float64(q.cfg.Capacity) * q.cfg.UrgentReserve) }
