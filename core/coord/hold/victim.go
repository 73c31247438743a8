package hold

import (
	"cmp"
	"slices"
	"time"
)

// Victim is a holder that has to be ended.
type Victim struct {
	Holder *Holder
	Reason Reason
	Phase  Phase
	Port   string
	Bytes  int64
	// Pause is the time since the holder's last progress.
	Pause time.Duration
}

// Evict ends the holder.
func (v Victim) Evict() { v.Holder.evict(v.Reason) }

// Sweep returns the holders whose bodies arrive too slowly.
func (a *Account) Sweep(now time.Duration) []Victim {
	a.mu.Lock()
	defer a.mu.Unlock()
	gap := now - a.swept
	pause := cmp.Or(a.cfg.BodyPause, defaultBodyPause)
	suspended := a.swept > 0 && gap > sweepGap
	a.swept = now
	var out []Victim
	for h := range a.holders {
		if suspended {
			h.since += gap
			h.progress += gap
		}
		if h.phase != Body || h.ended {
			continue
		}
		if h.waiting {
			// The client is not read meanwhile.
			h.since += gap
			h.progress = now
			continue
		}
		age := now - h.since
		if now-h.progress > pause || age > pause && float64(h.received) < minBodyRate*(age-pause).Seconds() {
			h.ended = true
			out = append(out, h.victim(Slow, now))
		}
	}
	return out
}

func (h *Holder) victim(r Reason, now time.Duration) Victim {
	return Victim{Holder: h, Reason: r, Phase: h.phase, Port: h.port, Bytes: h.total, Pause: now - h.progress}
}

// pauseLimit returns how long the holder may pause while others need room, and false if it
// never gives way.
func (h *Holder) pauseLimit() (time.Duration, bool) {
	switch {
	case h.ended || h.waiting || h.port == "" || h.phase == Served && !h.unread:
		return 0, false
	case h.phase == Served:
		return unreadTime, true
	case h.phase == Silent:
		return silentTime, true
	case h.phase == Idle:
		return idleTime, true
	default:
		return stallTime, true
	}
}

// stalledConn returns the connection of a port with the longest time beyond its limit.
func (a *Account) stalledConn(port string, now time.Duration) (Victim, bool) {
	var found *Holder
	var most time.Duration
	for h := range a.holders {
		limit, ok := h.pauseLimit()
		if over := now - h.progress - limit; ok && h.port == port && over >= 0 && (found == nil || over > most) {
			found, most = h, over
		}
	}
	if found == nil {
		found = a.longestIdle(port, now)
	}
	if found == nil {
		return Victim{}, false
	}
	return found.victim(Stalled, now), true
}

// longestIdle returns the connection of a port that is between requests for the longest time;
// nil if none is for leastIdleTime.
func (a *Account) longestIdle(port string, now time.Duration) *Holder {
	var found *Holder
	for h := range a.holders {
		if h.port == port && h.phase == Idle && !h.ended && now-h.progress >= leastIdleTime && (found == nil || h.progress < found.progress) {
			found = h
		}
	}
	return found
}

// stalledHolders returns the largest holders, other than one, that made no progress, until they
// hold n bytes together. Of equal ones the oldest comes first.
func (a *Account) stalledHolders(except *Holder, n int64, now time.Duration) []Victim {
	var stalled []*Holder
	for h := range a.holders {
		limit, ok := h.pauseLimit()
		if ok && h != except && h.phase != Idle && h.phase != Silent && now-h.progress >= limit {
			stalled = append(stalled, h)
		}
	}
	slices.SortFunc(stalled, func(x, y *Holder) int {
		if x.total != y.total {
			return int(y.total - x.total)
		}
		return int(x.number) - int(y.number)
	})
	var out []Victim
	for _, h := range stalled {
		if n <= 0 {
			break
		}
		h.ended = true
		n -= h.total
		out = append(out, h.victim(Stalled, now))
	}
	return out
}
