package claim

import (
	"errors"
	"fmt"

	"cicadastand.dev/core/state/ledger"
)

// ErrHeld reports a key that another attempt has claimed. That attempt may have
// sent the call.
type ErrHeld struct{ ID ledger.ID }

// Error returns a message with the key.
func (e *ErrHeld) Error() string { return fmt.Sprintf("%s is held by another attempt", e.ID) }

// IsErrHeld reports whether err holds an ErrHeld.
func IsErrHeld(err error) bool {
	var target *ErrHeld
	return errors.As(err, &target)
}

// ErrDone reports a key whose call has run and has a recorded outcome.
type ErrDone struct {
	ID      ledger.ID
	Outcome ledger.Outcome
}

// Error returns a message with the key.
func (e *ErrDone) Error() string { return fmt.Sprintf("%s has already run", e.ID) }

// ErrConflict reports a key that was used for a different call.
type ErrConflict struct{ ID ledger.ID }

// Error returns a message with the key.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("%s was already used for a different call", e.ID)
}

// IsErrConflict reports whether err holds an ErrConflict.
func IsErrConflict(err error) bool {
	var target *ErrConflict
	return errors.As(err, &target)
}

// ErrExpired reports a key whose creation time is outside of the allowed window.
type ErrExpired struct{ ID ledger.ID }

// Error returns a message with the key.
func (e *ErrExpired) Error() string {
	return fmt.Sprintf("%s was created too long ago or in the future", e.ID)
}

// IsErrExpired reports whether err holds an ErrExpired.
func IsErrExpired(err error) bool {
	var target *ErrExpired
	return errors.As(err, &target)
}

// ErrNotRun reports a call of which this attempt has sent nothing and never will.
type ErrNotRun struct {
	Proof  NotRun
	Reason string
}

// Error returns the reason.
func (e *ErrNotRun) Error() string { return "not run: " + e.Reason }

// IsErrNotRun reports whether err holds an ErrNotRun.
func IsErrNotRun(err error) bool {
	var target *ErrNotRun
	return errors.As(err, &target)
}
