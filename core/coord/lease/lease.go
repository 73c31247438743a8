// Package lease decides when this host may act as the only holder of a lease in the
// system.
//
// The lease guards against two races: a holder that stops, freezes or is partitioned
// from the network, and many hosts that start the same work at the same moment. A
// lease is granted by a conditional append to a log. The holder counts the lease
// from before it sent the append, and the other hosts count it from when they read
// the grant, so two leases can't overlap. All times are on a clock that continues
// while the machine is suspended.
package lease

import (
	"time"

	"cicadastand.dev/core/proto/feed"
)

// marginShare is the fraction at the end of the lease in which the holder starts no
// work, so that what it has sent arrives before the lease expires.
const marginShare = 0.2

// renewShare is the fraction of the lease before that margin in which the holder
// renews it. It leaves time for two appends that get no response.
const renewShare = 0.4

// Config names this host and sets the duration of the lease.
type Config struct {
	Host     string
	Duration time.Duration
}

// Lease is this host's view of the lease. It is not safe for concurrent use.
type Lease struct {
	cfg   Config
	known bool
	// seen is set once a grant was known.
	seen     bool
	grant    feed.Grant
	observed time.Duration
	// until is when this host stops acting as the holder; 0 if it is not the holder.
	until time.Duration
	// pendingNonce and pendingSince are the nonce and the send time of the latest
	// append.
	pendingNonce string
	pendingSince time.Duration
}

// New returns a lease whose last grant is unknown.
func New(cfg Config) *Lease { return &Lease{cfg: cfg} }

// Known reports whether the last grant on the log is known.
func (l *Lease) Known() bool { return l.known }

// NextOffset returns the offset at which the next grant has to be appended.
func (l *Lease) NextOffset() int64 { return l.grant.End }

// Observe records the last grant on the log, from a read that ended at now. In a new era the
// newest grants may be lost while their holder still acts on them. So a lease counts from now
// then, whatever the log has. If this host is that holder, it may renew.
func (l *Lease) Observe(g feed.Grant, now time.Duration) {
	if l.known && g.Fence() <= l.grant.Fence() {
		return
	}
	restored := l.seen && g.Era > l.grant.Era
	l.known, l.seen = true, true
	l.grant = g
	l.observed = now
	if restored {
		// An append of an earlier era may take effect late.
		l.pendingNonce = ""
	}
	if restored && l.Holds(now) {
		l.grant.Holder = l.cfg.Host
		return
	}
	l.until = 0
	if g.Nonce != "" && g.Nonce == l.pendingNonce {
		l.hold(l.pendingSince)
	}
}

// BeginAppend records that an append is about to be sent. If it succeeds, the lease
// counts from sent.
func (l *Lease) BeginAppend(nonce string, sent time.Duration) {
	l.pendingNonce, l.pendingSince = nonce, sent
}

// AppendUnresolved records that the outcome of the append is unknown. The log has to
// be read again.
func (l *Lease) AppendUnresolved() {
	l.known = false
	l.until = 0
}

// AppendSucceeded records that the append was accepted in an era of the log, and reports
// whether this host is the holder. In a new era it is only if it was already: another
// host's grant may be lost.
func (l *Lease) AppendSucceeded(era int64) bool {
	restored := era > l.grant.Era
	held := l.pendingSince < l.until
	l.known, l.seen = true, true
	l.grant = feed.Grant{Era: max(era, l.grant.Era), End: l.grant.End + 1, Holder: l.cfg.Host, Nonce: l.pendingNonce}
	if restored && !held {
		l.observed, l.until = l.pendingSince, 0
		return false
	}
	l.hold(l.pendingSince)
	return true
}

// hold makes this host the holder, from the time at which the append was sent.
func (l *Lease) hold(sent time.Duration) {
	l.observed = sent
	l.until = sent + l.cfg.Duration - time.Duration(marginShare*float64(l.cfg.Duration))
}

// Holds reports whether this host may act as the holder at now.
func (l *Lease) Holds(now time.Duration) bool { return now < l.until }

// Until returns the time at which this host has to stop acting as the holder.
func (l *Lease) Until() time.Duration { return l.until }

// ShouldRenew reports whether the holder should renew the lease in order to continue
// its work.
func (l *Lease) ShouldRenew(now time.Duration) bool {
	return l.Holds(now) && l.until-now < time.Duration(renewShare*float64(l.cfg.Duration))
}

// firstEra is the era of a store that was never restored.
const firstEra = 1

// Wait returns how long this host has to wait before it may append a grant. The last
// holder need not wait.
func (l *Lease) Wait(now time.Duration) time.Duration {
	if l.grant.End == 0 && l.grant.Era <= firstEra || l.grant.Holder == l.cfg.Host && l.until > 0 {
		return 0
	}
	return max(0, l.observed+l.cfg.Duration-now)
}

// IsLastHolder reports whether this process was the last holder of the lease.
func (l *Lease) IsLastHolder() bool { return l.grant.Holder == l.cfg.Host && l.until > 0 }

// FencingToken returns the fencing token of the lease that this host holds.
func (l *Lease) FencingToken() int64 { return l.grant.Fence() }
