// Package feed holds the decoded records of a platform's store, and the orders and reports
// that are exchanged with engines.
package feed

import (
	"cmp"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadastand.dev/core/state/site"
)

// Newest is the offset that requests the current state instead of the records after an
// offset.
const Newest int64 = -1

// A store that is restored from a copy begins a new era. Offsets are valid within one era:
// in the next one they go back, and are given out again. Records that were written after
// the copy are lost until they are written again.

// ErrTrimmed reports that the log does not have the records after the requested offset: they
// were trimmed, or the offset is of an earlier era. The current state has to be read instead.
type ErrTrimmed struct {
	// First is the offset of the oldest record that the log has.
	First int64
	Err   error
}

// Error implements error.
func (e *ErrTrimmed) Error() string { return "records are not in the log: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ErrTrimmed) Unwrap() error { return e.Err }

// IsErrTrimmed reports whether err holds an ErrTrimmed.
func IsErrTrimmed(err error) bool {
	var target *ErrTrimmed
	return errors.As(err, &target)
}

// Published holds the records that the operator has published.
type Published struct {
	// Era is the era of the store that was read.
	Era int64
	// Next is the offset from which to read on.
	Next int64
	// Config is the newest configuration that was read; nil if there was none.
	Config *site.Config
	// Weights is the newest published version of each model.
	Weights map[string]int
	// Records holds the raw records that were read.
	Records []Record
	// Faults holds an error for each invalid record.
	Faults []error
}

// Record is a value that the operator has published under a key.
type Record struct {
	Key   string
	Value []byte
}

// Entries holds the entries that endpoints have written to the endpoint list.
type Entries struct {
	// Era is the era of the store that was read.
	Era int64
	// Next is the offset from which to read on.
	Next int64
	// Complete is set if Endpoints is the entire list instead of its changes.
	Complete  bool
	Endpoints map[string]*site.Endpoint
	// Removed holds the IDs of entries that were removed from the list.
	Removed []string
	// Invalid holds the IDs of entries that can't be decoded. What is known of these
	// endpoints holds.
	Invalid []string
	Faults  []error
}

// Host is the registration of a host of the system.
type Host struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Address       string `json:"address"`
	// LinkMbps is the bandwidth of the host's network link; 0 if unknown.
	LinkMbps int `json:"link-mbps,omitempty"`
}

// Hosts holds the registrations of hosts.
type Hosts struct {
	// Era is the era of the store that was read.
	Era    int64
	Next   int64
	Hosts  []Host
	Faults []error
}

// StreamKey identifies a stream by a hash of the ID of the client's request that brought its
// first event. It is 0 for no stream.
type StreamKey uint64

// NewStreamKey returns the key of the stream that a request began.
func NewStreamKey(id string) StreamKey {
	if id == "" {
		return 0
	}
	return StreamKey(xxhash.Sum64String(id))
}

// Origin is the build of the endpoint that began a stream.
type Origin struct {
	Stream StreamKey
	Build  string
}

// Origins holds origins of streams.
type Origins struct {
	// Era is the era of the store that was read.
	Era int64
	// Next is the offset from which to read on, and End the offset after the last record.
	Next    int64
	End     int64
	Origins []Origin
	// Repeated are the marks of hosts that have added their origins again.
	Repeated []RepeatMark
	Faults   []error
}

// OriginBatch is what a host adds to the log of origins at once.
type OriginBatch struct {
	Origins []Origin
	// Repeated is the mark of a host that has added all origins that it holds again in an era of
	// the store; 0 for none.
	Repeated RepeatMark
}

// RepeatMark identifies a host and an era of the store by a hash.
type RepeatMark uint64

// NewRepeatMark returns the mark of a host in an era.
func NewRepeatMark(host string, era int64) RepeatMark {
	return RepeatMark(xxhash.Sum64String(host + "/" + strconv.FormatInt(era, 10)))
}

// StartMark tells one start of a host from others.
type StartMark struct {
	Host  string
	Start string
}

// StartMarks holds the newest mark of each host.
type StartMarks struct {
	// Era is the era of the store that was read.
	Era    int64
	Starts []StartMark
}

// EraState says whether the log of origins had the records of all streams that could still be
// resumed in an era of the store.
type EraState struct {
	// Read is the era of the store that was read.
	Read int64
	// Era is the era that the statement is about; 0 if there is none.
	Era     int64
	IsWhole bool
}

// Base is the base build of a service: the streams without a recorded origin began there.
type Base struct {
	Service string
	Build   string
	// Term counts the changes of the base build, from 1.
	Term int64
}

// Bases holds the base builds of all services.
type Bases struct {
	// Era is the era of the store that was read.
	Era    int64
	Next   int64
	Bases  []Base
	Faults []error
}

// ErrBaseTaken reports that another host has set a base build since the read.
var ErrBaseTaken = errors.New("another host has set a base build")

// Grant is the last record of the lease log.
type Grant struct {
	// Era is the era of the store that was read.
	Era int64
	// End is the offset after the record; 0 if the lease was never taken.
	End int64
	// Holder and Nonce are empty if the record was trimmed from the log.
	Holder string
	Nonce  string
}

// Fence returns the fencing token of the grant. It goes up with each grant, also when a
// restored store gives out offsets again.
func (g Grant) Fence() int64 { return g.Era<<eraShift | g.End }

// eraShift is the number of bits of a fencing token for the offset within an era.
const eraShift = 32

// GrantFrom returns the grant with a fencing token.
func GrantFrom(holder string, fence int64) Grant {
	return Grant{Era: fence >> eraShift, End: fence & (1<<eraShift - 1), Holder: holder}
}

// ErrLeaseTaken reports that another host acquired the lease first.
var ErrLeaseTaken = errors.New("lease was taken by another host")

// IsErrLeaseTaken reports whether err holds ErrLeaseTaken.
func IsErrLeaseTaken(err error) bool { return errors.Is(err, ErrLeaseTaken) }

// Report is the status report of an engine.
type Report struct {
	// Busy is set while the engine executes an order.
	Busy bool
	// OrderCount is the number of orders accepted since the engine started.
	OrderCount int64
	Weights    map[string]int
}

// Order tells an engine to load a version of the weights.
type Order struct {
	Model   string
	Version int
	// OrderCount must equal the engine's current count for the order to be accepted.
	OrderCount int64
	Holder     string
	// FencingToken is the fencing token of the holder's lease.
	FencingToken int64
}

// Verdict is an engine's response to an order.
type Verdict int

// The verdicts on orders.
const (
	// Accepted means that the engine executes the order.
	Accepted Verdict = iota
	// AlreadyDone means that the engine already has the requested weights.
	AlreadyDone
	// Conflict means that another order is in progress or was accepted in the meantime.
	Conflict
	// Refused means that the order will never be accepted.
	Refused
)

// String returns the verdict as it appears in logs.
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

// ReadMark describes the newest read of a topic, by this host or by another one.
type ReadMark struct {
	// Era is the era of the store, and Next the offset after the last record.
	Era  int64
	Next int64
	// Started is when the read started.
	Started time.Duration
	// Own is set if this host made the read.
	Own bool
}

// Precedes reports whether a read ended before another one: in an earlier era, or at a lower
// offset of the same era.
func (m ReadMark) Precedes(other ReadMark) bool {
	return cmp.Or(cmp.Compare(m.Era, other.Era), cmp.Compare(m.Next, other.Next)) < 0
}
