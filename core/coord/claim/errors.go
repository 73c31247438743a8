package claim

import (
	"errors"
	"fmt"

	"cicadastand.dev/core/state/ledger"
)

// ErrHeld reports a key whose call another attempt may have sent.
type ErrHeld struct{ ID ledger.ID }

// Error names the key.
func (e *ErrHeld) Error() string { return fmt.Sprintf("%s is held by another attempt", e.ID) }

// IsErrHeld reports whether err holds an ErrHeld.
func IsErrHeld(err error) bool {
	var target *ErrHeld
	return errors.As(err, &target)
}

// ErrDone reports a key whose outcome is recorded.
type ErrDone struct {
	ID      ledger.ID
	Outcome ledger.Outcome
}

// Error names the key.
func (e *ErrDone) Error() string { return fmt.Sprintf("%s has run already", e.ID) }

// ErrConflict reports a key that was used for another call.
type ErrConflict struct{ ID ledger.ID }

// Error names the key.
func (e *ErrConflict) Error() string { return fmt.Sprintf("%s was used for another call", e.ID) }

// IsErrConflict reports whether err holds an ErrConflict.
func IsErrConflict(err error) bool {
	var target *ErrConflict
	return errors.As(err, &target)
}

// ErrExpired reports a key outside of its window.
type ErrExpired struct{ ID ledger.ID }

// Error names the key.
func (e *ErrExpired) Error() string {
	return fmt.Sprintf("%s was created too long ago or in the future", e.ID)
}

// IsErrExpired reports whether err holds an ErrExpired.
func IsErrExpired(err error) bool {
	var target *ErrExpired
	return errors.As(err, &target)
}

// ErrNotRun reports a call of which nothing was sent, nor ever will be by this attempt.
type ErrNotRun struct {
	Proof  NotRun
	Reason string
}

// Error gives the reason.
func (e *ErrNotRun) Error() string { return "not run: " + e.Reason }

// IsErrNotRun reports whether err holds an ErrNotRun.
func IsErrNotRun(err error) bool {
	var target *ErrNotRun
	return errors.As(err, &target)
}
