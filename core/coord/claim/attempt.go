package claim

import (
	"cicadastand.dev/core/state/ledger"
)

// phase is the state of an attempt on the host that made it.
type phase int

const (
	// claiming: the claim has no verdict yet.
	claiming phase = iota
	// won: the claim was the first one in the log; nothing was sent.
	won
	// lost: the claim's verdict was not Won; nothing was sent.
	lost
	// sending: part of the call may have been sent; this phase is final.
	sending
	// abandoned: the attempt will never send; this phase is final.
	abandoned
)

// Attempt is one attempt of this host to run a non-idempotent call.
// Its phase is guarded by the coordinator's lock.
type Attempt struct {
	owner        *Coordinator
	rec          ledger.Record
	phase        phase
	verdict      ledger.Verdict
	fencingToken uint64
	// appendTried is set once an append of the claim was tried.
	appendTried bool
	// decided is closed once the verdict is known.
	decided chan struct{}
}

// NotRun proves that an attempt has sent nothing and never will. Only this package
// creates it: in Abandon, and for attempts that did not win.
type NotRun struct{ Attempt string }

// ID returns the attempt's unique ID.
func (a *Attempt) ID() string { return a.rec.Attempt }

// FencingToken returns the log offset of the winning claim, which is the fencing
// token for endpoints that check one.
func (a *Attempt) FencingToken() uint64 { return a.fencingToken }

// Endpoint returns the endpoint named in the claim.
func (a *Attempt) Endpoint() string { return a.rec.Endpoint }

// MarkSending must be called before the first byte is sent. It reports false if the
// attempt must not send: it has not won, was abandoned or has sent before.
func (a *Attempt) MarkSending() bool {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	if a.phase != won {
		return false
	}
	a.phase = sending
	return true
}

// Abandon ensures that the attempt never sends, and queues a release if its claim
// may be in the log. It reports false if a byte may have been sent already.
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

// Complete records the response of the endpoint as the outcome.
func (a *Attempt) Complete(outcome ledger.Outcome) {
	a.owner.RecordOutcome(a.rec.ID, a.rec.Attempt, outcome)
}
