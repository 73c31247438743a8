package admit

import (
	"time"

	"cicadastand.dev/core/state/fleet"
)

// Line is the decision behind a gate: who is admitted next, and who is refused.
// It takes the time from outside, and is not safe for concurrent use.
type Line struct {
	cfg    LineConfig
	queues rankPair[*fair]
	inside rankPair[int]
	credit float64
	order  uint64
	rates  rankPair[rate]
}

// LineConfig sets up a line.
type LineConfig struct {
	// Capacity is how many requests may be at the engines at once.
	Capacity int
	// OtherFloor is the share of dispatches kept for work that is not urgent.
	OtherFloor float64
	// UrgentReserve is the share of the capacity that only urgent work may use.
	UrgentReserve float64
	// MaxQueue bounds the waiters of one rank.
	MaxQueue int
}

// NewLine returns an empty line.
func NewLine(cfg LineConfig) *Line {
	l := &Line{cfg: cfg}
	for i := range l.queues {
		l.queues[i] = newFair()
	}
	return l
}

// SetCapacity changes how many requests may be at the engines at once.
func (l *Line) SetCapacity(n int) {
	l.cfg.Capacity = n
	l.dispatch()
}

// SetFloor changes the share of dispatches kept for work that is not urgent.
func (l *Line) SetFloor(floor float64) { l.cfg.OtherFloor = floor }

// Join asks for admission. It returns ErrOverload if the request would miss its
// target, or else calls grant once the request is admitted, maybe at once.
func (l *Line) Join(ask Ask, now time.Time, grant func()) (*Ticket, error) {
	queue := *l.queues.of(ask.Rank)
	if queue.len() >= l.cfg.MaxQueue {
		return nil, &ErrOverload{RetryAfter: l.DrainTime(ask.Rank, queue.len(), now), Reason: "the queue is full"}
	}
	// An account without a backlog gets its share soon, however long the line is.
	if queue.backlog(ask.Account) == 0 {
		ask.MaxWait = max(ask.MaxWait, ask.Grace)
	} else {
		wait := l.DrainTime(ask.Rank, queue.ahead(ask)+1, now)
		if wait > ask.MaxWait {
			return nil, &ErrOverload{RetryAfter: wait - ask.MaxWait, Reason: "the target can't be met"}
		}
	}
	l.order++
	t := &Ticket{ask: ask, order: l.order, grant: grant}
	queue.push(t)
	l.dispatch()
	return t, nil
}

// MaxWait returns how long the request may wait for admission.
func (t *Ticket) MaxWait() time.Duration { return t.ask.MaxWait }

// Leave takes a request out of the line. It reports true if the request was
// admitted before.
func (l *Line) Leave(t *Ticket) bool {
	if t.granted {
		return true
	}
	(*l.queues.of(t.ask.Rank)).remove(t)
	return false
}

// Done says that an admitted request of a rank has left the engines.
func (l *Line) Done(rank fleet.Rank, now time.Time) {
	*l.inside.of(rank)--
	l.rates.of(rank).add(now)
	l.dispatch()
}

// Stats returns the current counts.
func (l *Line) Stats() Stats {
	return Stats{
		Capacity:     l.cfg.Capacity,
		UrgentInside: *l.inside.of(fleet.RankUrgent),
		OtherInside:  *l.inside.of(fleet.RankOther),
		UrgentQueued: (*l.queues.of(fleet.RankUrgent)).len(),
		OtherQueued:  (*l.queues.of(fleet.RankOther)).len(),
	}
}

// DrainTime estimates how long n requests of a rank take to be admitted. Urgent
// work takes every place that becomes free but for the floor of the other work.
func (l *Line) DrainTime(rank fleet.Rank, n int, now time.Time) time.Duration {
	perSecond := l.rates.of(rank).perSecond(now)
	if rank == fleet.RankUrgent {
		perSecond += l.rates.of(fleet.RankOther).perSecond(now)
		perSecond *= 1 - l.cfg.OtherFloor
	}
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// dispatch admits waiters while there is room.
func (l *Line) dispatch() {
	for {
		rank, ok := l.nextRank()
		if !ok {
			return
		}
		t := (*l.queues.of(rank)).pop()
		*l.inside.of(rank)++
		t.granted = true
		t.grant()
	}
}

// nextRank returns the rank to serve next. Urgent work goes first, but each
// urgent dispatch that passes over other work earns that work a credit.
func (l *Line) nextRank() (fleet.Rank, bool) {
	urgent := (*l.queues.of(fleet.RankUrgent)).len() > 0
	other := (*l.queues.of(fleet.RankOther)).len() > 0
	total := *l.inside.of(fleet.RankUrgent) + *l.inside.of(fleet.RankOther)
	room := l.cfg.Capacity - total
	switch {
	case room <= 0 || !urgent && !other:
		return "", false
	case urgent && !other:
		return fleet.RankUrgent, true
	case !urgent:
		return fleet.RankOther, room > l.reserve()
	case l.credit >= 1:
		l.credit--
		return fleet.RankOther, true
	default:
		l.credit += l.cfg.OtherFloor / (1 - l.cfg.OtherFloor)
		return fleet.RankUrgent, true
	}
}

// reserve returns the part of the capacity that only urgent work may use.
func (l *Line) reserve() int { return int(float64(l.cfg.Capacity) * l.cfg.UrgentReserve) }
