package claim

import (
	"cicadastand.dev/core/state/ledger"
)

// phase is how far an attempt has come on the host that owns it.
type phase int

const (
	// claiming: the claim is on its way to the log.
	claiming phase = iota
	// won: the log's order chose this attempt; nothing was sent.
	won
	// lost: the claim's verdict was not Won; nothing was sent.
	lost
	// sending: a byte may have left; this can't be undone.
	sending
	// abandoned: the owner decided never to send; this can't be undone.
	abandoned
)

// Attempt is one try of this host to run a call that may not be repeated.
// Its phase is guarded by the coordinator's lock.
type Attempt struct {
	owner       *Coordinator
	rec         ledger.Record
	phase       phase
	verdict     ledger.Verdict
	fence       uint64
	appendTried bool
	decided     chan struct{}
}

// NotRun proves that an attempt has sent nothing and never will. It comes from
// Abandon alone.
type NotRun struct{ Attempt string }

// ID returns the attempt's unique id.
func (a *Attempt) ID() string { return a.rec.Attempt }

// Fence returns the log offset of the winning claim, for endpoints that check fencing numbers.
func (a *Attempt) Fence() uint64 { return a.fence }

// Endpoint returns the endpoint named in the claim.
func (a *Attempt) Endpoint() string { return a.rec.Endpoint }

// MarkSending has to be called before the first byte is sent. It reports false
// if the attempt may not send: it has not won, was abandoned, or has sent before.
func (a *Attempt) MarkSending() bool {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	if a.phase != won {
		return false
	}
	a.phase = sending
	return true
}

// Abandon decides irrevocably never to send, and has the release appended until
// the log has it. It reports false if a byte may have been sent already.
func (a *Attempt) Abandon() (NotRun, bool) {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	switch a.phase {
	case sending:
		return NotRun{}, false
	case claiming, won:
		a.phase = abandoned
		a.owner.withdraw(a)
	case lost, abandoned:
	}
	return NotRun{Attempt: a.rec.Attempt}, true
}

// Complete records the answer of the endpoint.
func (a *Attempt) Complete(outcome ledger.Outcome) {
	a.owner.RecordOutcome(a.rec.ID, a.rec.Attempt, outcome)
}
