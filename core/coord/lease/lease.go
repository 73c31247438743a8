// Package lease decides when this host may act as the only holder in the system.
//
// It answers races: the host that stops, freezes or is cut off while it holds,
// and the many hosts that see the same work at the same moment. A holder counts
// its time from before its append was sent, the others count theirs from when
// they learnt of the append, so their times can't overlap. All times are on a
// clock that counts suspended time.
package lease

import (
	"time"

	"cicadastand.dev/core/proto/feed"
)

// marginShare is the part of the lease at its end in which nothing is started:
// what was sent has to arrive in time.
const marginShare = 0.2

// renewShare is the part of the lease before that in which the holder renews it:
// room for two appends that get no answer.
const renewShare = 0.4

// Config says who competes for the lease, and for how long it is given.
type Config struct {
	Host     string
	Duration time.Duration
}

// Lease is what the host knows of the lease. It is not safe for concurrent use.
type Lease struct {
	cfg      Config
	known    bool
	grant    feed.Grant
	observed time.Duration
	// until is when this host stops; 0 if it does not hold.
	until time.Duration
	// pendingNonce and pendingSince are those of an append whose outcome is open.
	pendingNonce string
	pendingSince time.Duration
}

// New returns a lease of which nothing is known.
func New(cfg Config) *Lease { return &Lease{cfg: cfg} }

// Known reports whether the last grant was read.
func (l *Lease) Known() bool { return l.known }

// NextOffset is the offset at which the next grant has to stand.
func (l *Lease) NextOffset() int64 { return l.grant.End }

// Observe takes the last grant, as a read showed it that ended at now.
func (l *Lease) Observe(g feed.Grant, now time.Duration) {
	if l.known && g.End <= l.grant.End {
		return
	}
	l.known = true
	l.grant = g
	l.observed = now
	l.until = 0
	if g.Nonce != "" && g.Nonce == l.pendingNonce {
		l.hold(l.pendingSince)
	}
}

// BeginAppend notes that an append is about to be sent, by which its grant counts.
func (l *Lease) BeginAppend(nonce string, sent time.Duration) {
	l.pendingNonce, l.pendingSince = nonce, sent
}

// AppendUnresolved notes that the outcome of the append is open: the log has to be read.
func (l *Lease) AppendUnresolved() {
	l.known = false
	l.until = 0
}

// AppendSucceeded notes that the append was the next one on the log.
func (l *Lease) AppendSucceeded() {
	l.known = true
	l.grant = feed.Grant{End: l.grant.End + 1, Holder: l.cfg.Host, Nonce: l.pendingNonce}
	l.hold(l.pendingSince)
}

func (l *Lease) hold(sent time.Duration) {
	l.observed = sent
	l.until = sent + l.cfg.Duration - time.Duration(marginShare*float64(l.cfg.Duration))
}

// Holds reports whether this host may act at now.
func (l *Lease) Holds(now time.Duration) bool { return now < l.until }

// Until returns when this host stops acting.
func (l *Lease) Until() time.Duration { return l.until }

// ShouldRenew reports whether what is left of the lease is too short for work
// that goes on.
func (l *Lease) ShouldRenew(now time.Duration) bool {
	return l.Holds(now) && l.until-now < time.Duration(renewShare*float64(l.cfg.Duration))
}

// Wait returns how long this host has to wait before it may ask for the lease.
// The host that had it last need not wait.
func (l *Lease) Wait(now time.Duration) time.Duration {
	if l.grant.End == 0 || l.grant.Holder == l.cfg.Host && l.until > 0 {
		return 0
	}
	return max(0, l.observed+l.cfg.Duration-now)
}

// IsLastHolder reports whether this process had the lease last.
func (l *Lease) IsLastHolder() bool { return l.grant.Holder == l.cfg.Host && l.until > 0 }

// FencingToken is the fencing token of the lease that this host holds.
func (l *Lease) FencingToken() int64 { return l.grant.End }
