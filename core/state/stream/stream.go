// Package stream holds the records of the platform's append-only log.
package stream

import (
	"errors"
	"fmt"
	"time"
)

// The names of the streams that the system keeps on the platform's log.
const (
	// Config carries contracts, the fleet description, heartbeats and checkpoints.
	Config = "config"
	// Claims carries claims, outcomes and releases of calls that may not be repeated.
	Claims = "claims"
)

// Record is one entry of a stream.
type Record struct {
	// Offset is the position in the stream, counted from 1 without gaps.
	Offset uint64
	// Time is when the log accepted the record, by the log's clock.
	Time time.Time
	// Data is what was appended.
	Data []byte
}

// Batch is the answer to one read.
type Batch struct {
	// Records are in order and without gaps.
	Records []Record
	// Next is the offset to read from next.
	Next uint64
}

// ErrTrimmed reports a read before the oldest record that the log still keeps.
type ErrTrimmed struct {
	// First is the oldest offset that can be read.
	First uint64
}

// Error says from where the stream can be read.
func (e *ErrTrimmed) Error() string {
	return fmt.Sprintf("records before offset %d are no longer kept", e.First)
}

// IsErrTrimmed reports whether err holds an ErrTrimmed.
func IsErrTrimmed(err error) bool {
	var target *ErrTrimmed
	return errors.As(err, &target)
}
