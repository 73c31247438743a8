// Package stream defines the records of the platform's append-only log.
package stream

import (
	"errors"
	"fmt"
	"time"
)

// The names of the streams in the platform's log.
const (
	// Config carries contracts, the fleet description, heartbeats and checkpoints.
	Config = "config"
	// Claims carries claims, outcomes and releases of calls that must not run more
	// than once.
	Claims = "claims"
)

// Record is one entry of a stream.
type Record struct {
	// Offset is the position in the stream, counting from 1 without gaps.
	Offset uint64
	// Time is when the log accepted the record, according to the log's clock.
	Time time.Time
	// Data is the appended data.
	Data []byte
}

// Batch is the result of one read.
type Batch struct {
	// Records are in order of their offsets, without gaps.
	Records []Record
	// Next is the offset to read from next.
	Next uint64
}

// ErrTrimmed reports a read from an offset whose record has been trimmed from the log.
type ErrTrimmed struct {
	// First is the oldest offset that can be read.
	First uint64
}

// Error states the oldest offset that can be read.
func (e *ErrTrimmed) Error() string {
	return fmt.Sprintf("records before offset %d have been trimmed", e.First)
}

// IsErrTrimmed reports whether err holds an ErrTrimmed.
func IsErrTrimmed(err error) bool {
	var target *ErrTrimmed
	return errors.As(err, &target)
}
