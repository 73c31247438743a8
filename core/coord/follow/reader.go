// Package follow keeps a host's picture of the platform's streams current.
package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/stream"
)

// Log is the reading side of the platform's log.
type Log interface {
	// Read returns records from an offset on, waiting up to wait for the first.
	// It fails with stream.ErrTrimmed when the offset is no longer kept.
	Read(ctx context.Context, name string, from uint64, wait time.Duration) (stream.Batch, error)
}

// Sink takes the records of one stream in order.
type Sink interface {
	// Next returns the offset of the next record that the sink wants.
	Next() uint64
	// Apply takes records in order and without gaps.
	Apply(records []stream.Record)
	// Trimmed says that the records before first are gone from the log.
	Trimmed(first uint64)
}

// ReaderConfig says what a Reader reads and where it puts it.
type ReaderConfig struct {
	Clock  clock.Service
	Log    Log
	Stream string
	Sink   Sink
	Logger hclog.Logger
}

// Reader feeds one stream of the log to a sink until its context ends.
type Reader struct {
	cfg      ReaderConfig
	failures int
	caughtUp chan struct{}
}

const (
	readWait       = 2 * time.Second
	backoffInitial = 50 * time.Millisecond
	backoffMax     = 2 * time.Second
)

// NewReader returns a reader that has not started.
func NewReader(cfg ReaderConfig) *Reader {
	return &Reader{cfg: cfg, caughtUp: make(chan struct{})}
}

// CaughtUp returns a channel that is closed once the end of the stream was reached.
func (r *Reader) CaughtUp() <-chan struct{} { return r.caughtUp }

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.readBatch(ctx)
		if err == nil {
			r.failures = 0
			continue
		}
		r.failures++
		if r.failures == 1 && ctx.Err() == nil {
			r.cfg.Logger.Warn("log can't be read", "stream", r.cfg.Stream, "error", err)
		}
		// An error means that ctx has ended, which the loop sees as well.
		_ = clock.Sleep(ctx, r.cfg.Clock, Backoff(r.failures))
	}
}

func (r *Reader) readBatch(ctx context.Context) error {
	from := r.cfg.Sink.Next()
	batch, err := r.cfg.Log.Read(ctx, r.cfg.Stream, from, r.wait())
	var trimmed *stream.ErrTrimmed
	if errors.As(err, &trimmed) {
		r.cfg.Logger.Info("records were trimmed", "stream", r.cfg.Stream, "wanted", from, "first", trimmed.First)
		r.cfg.Sink.Trimmed(trimmed.First)
		return nil
	}
	if err != nil {
		return fmt.Errorf("read %s from %d: %w", r.cfg.Stream, from, err)
	}
	r.cfg.Sink.Apply(batch.Records)
	if len(batch.Records) == 0 {
		r.markCaughtUp()
	}
	return nil
}

// wait returns how long a read may wait; until the end was reached once it is zero.
func (r *Reader) wait() time.Duration {
	select {
	case <-r.caughtUp:
		return readWait
	default:
		return 0
	}
}

func (r *Reader) markCaughtUp() {
	select {
	case <-r.caughtUp:
	default:
		close(r.caughtUp)
	}
}

// Backoff returns the delay before the next try after a number of failures.
func Backoff(failures int) time.Duration {
	d := backoffInitial
	for i := 1; i < failures && d < backoffMax; i++ {
		d *= 2
	}
	return min(d, backoffMax)
}
