// Package feed holds what a read of a platform's store brings, decoded.
package feed

import (
	"errors"

	"cicadastand.dev/core/state/site"
)

// Newest is the offset that asks for the newest state instead of what followed.
const Newest int64 = -1

// ErrTrimmed reports that what followed an offset is no longer kept; the newest
// state has to be read instead.
var ErrTrimmed = errors.New("records are no longer kept")

// IsErrTrimmed reports whether err holds ErrTrimmed.
func IsErrTrimmed(err error) bool { return errors.Is(err, ErrTrimmed) }

// Published is what the operator has published.
type Published struct {
	// Next is the offset from which to read on.
	Next int64
	// Config is the newest configuration read; nil if there was none.
	Config *site.Config
	// Weights is the newest version named for each model.
	Weights map[string]int
	// Records are those that were read, as they were published.
	Records []Record
	// Faults are the records that could not be used.
	Faults []error
}

// Record is what the operator has published under a key.
type Record struct {
	Key   string
	Value []byte
}

// Entries is what endpoints have written of themselves.
type Entries struct {
	// Next is the offset from which to read on.
	Next int64
	// Complete is set if Endpoints is the entire list.
	Complete  bool
	Endpoints map[string]*site.Endpoint
	// Removed are the entries that were taken off the list.
	Removed []string
	Faults  []error
}

// Host is another host of the system, as it has registered itself.
type Host struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Address       string `json:"address"`
	// LinkMbps is the speed of the host's link; 0 if it is not known.
	LinkMbps int `json:"link-mbps,omitempty"`
}

// Hosts is what hosts have registered.
type Hosts struct {
	Next   int64
	Hosts  []Host
	Faults []error
}

// Grant is the last record of the lease's log.
type Grant struct {
	// End is the offset after the record; 0 if the lease was never taken.
	End int64
	// Holder and Nonce are empty if the record is no longer kept.
	Holder string
	Nonce  string
}

// ErrLeaseTaken reports a lease that somebody else has taken first.
var ErrLeaseTaken = errors.New("lease was taken by another host")

// IsErrLeaseTaken reports whether err holds ErrLeaseTaken.
func IsErrLeaseTaken(err error) bool { return errors.Is(err, ErrLeaseTaken) }

// Report is what an engine says of itself.
type Report struct {
	// Busy is set while an order is carried out.
	Busy bool
	// OrderCount is the number of orders accepted since the engine's start.
	OrderCount int64
	Weights    map[string]int
}

// Order asks an engine for other weights.
type Order struct {
	Model   string
	Version int
	// OrderCount must be the engine's when it accepts the order.
	OrderCount int64
	Holder     string
	// Fence is the fencing token of the holder's lease.
	Fence int64
}

// Verdict is an engine's answer to an order.
type Verdict int

// The verdicts.
const (
	// Accepted orders are being carried out.
	Accepted Verdict = iota
	// AlreadyDone orders ask for what holds.
	AlreadyDone
	// Conflict means that another order is in progress or was accepted meanwhile.
	Conflict
	// Refused orders will never be accepted.
	Refused
)

// String returns the verdict as logs show it.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case AlreadyDone:
		return "already-done"
	case Conflict:
		return "conflict"
	default:
		return "refused"
	}
}
