package send

import (
	"errors"
	"fmt"
)

// ErrNoEndpoint reports that no endpoint can take the request.
type ErrNoEndpoint struct{ Model string }

// Error names the model.
func (e *ErrNoEndpoint) Error() string { return "no engine can serve model " + e.Model }

// IsErrNoEndpoint reports whether err holds an ErrNoEndpoint.
func IsErrNoEndpoint(err error) bool {
	var target *ErrNoEndpoint
	return errors.As(err, &target)
}

// ErrRejected reports a request that no engine has run: each one that was asked
// refused it, or could not be reached.
type ErrRejected struct{ Err error }

// Error gives the last refusal.
func (e *ErrRejected) Error() string { return fmt.Sprintf("no engine took the request: %v", e.Err) }

// Unwrap returns the last refusal.
func (e *ErrRejected) Unwrap() error { return e.Err }

// IsErrRejected reports whether err holds an ErrRejected.
func IsErrRejected(err error) bool {
	var target *ErrRejected
	return errors.As(err, &target)
}

// fault classifies what went wrong with one send.
type fault int

const (
	// faultRejected: the engine answered that it does not run the request.
	faultRejected fault = iota
	// faultUnreachable: no connection could be made.
	faultUnreachable
	// faultMismatch: incarnation, weights or identity differ from those expected.
	faultMismatch
	// faultDisconnected: the connection ended before the answer was whole.
	faultDisconnected
	// faultStalled: the engine made no progress for too long.
	faultStalled
	// faultCaller: the caller can't be written to.
	faultCaller
	// faultInvalid: the engine says that the request is not valid.
	faultInvalid
)

// sendError is the failure of one send.
type sendError struct {
	fault    fault
	endpoint string
	err      error
}

func (e *sendError) Error() string { return fmt.Sprintf("send to %s: %v", e.endpoint, e.err) }

func (e *sendError) Unwrap() error { return e.err }

// ErrIncomplete reports an answer that could not be completed.
type ErrIncomplete struct {
	// Events is how many events the sink has.
	Events int
	Err    error
}

// Error gives the cause.
func (e *ErrIncomplete) Error() string {
	return fmt.Sprintf("the answer broke off after %d events: %v", e.Events, e.Err)
}

// Unwrap returns the cause.
func (e *ErrIncomplete) Unwrap() error { return e.Err }

// ErrCaller reports that the caller can't be written to.
type ErrCaller struct{ Err error }

// Error gives the cause.
func (e *ErrCaller) Error() string { return fmt.Sprintf("the caller does not read: %v", e.Err) }

// Unwrap returns the cause.
func (e *ErrCaller) Unwrap() error { return e.Err }

// IsErrCaller reports whether err holds an ErrCaller.
func IsErrCaller(err error) bool {
	var target *ErrCaller
	return errors.As(err, &target)
}
