// Package follow reads the streams of the platform's log and keeps the state that
// a host derives from them current.
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

// Log reads from the platform's log.
type Log interface {
	// Read returns records from an offset on, and waits up to wait for the first one.
	// It fails with stream.ErrTrimmed if the offset is no longer retained.
	Read(ctx context.Context, name string, from uint64, wait time.Duration) (stream.Batch, error)
}

// Sink processes the records of one stream in order.
type Sink interface {
	// Next returns the offset of the next record to read.
	Next() uint64
	// Apply processes records, which come in order and without gaps.
	Apply(records []stream.Record)
	// Trimmed tells the sink that the log no longer has the records before first.
	Trimmed(first uint64)
}

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Clock  clock.Service
	Log    Log
	Stream string
	Sink   Sink
	Logger hclog.Logger
}

// Reader passes the records of one stream to a sink.
type Reader struct {
	cfg      ReaderConfig
	failures int
	caughtUp chan struct{}
}

const (
	// readWait is how long a read waits for new records once the reader has caught up.
	readWait       = 2 * time.Second
	backoffInitial = 50 * time.Millisecond
	backoffMax     = 2 * time.Second
)

// NewReader returns a reader that has not started.
func NewReader(cfg ReaderConfig) *Reader {
	return &Reader{cfg: cfg, caughtUp: make(chan struct{})}
}

// CaughtUp returns a channel that is closed when the reader first reaches the end
// of the stream.
func (r *Reader) CaughtUp() <-chan struct{} { return r.caughtUp }

// Run reads records, with backoff after failures, until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.readBatch(ctx)
		if err == nil {
			r.failures = 0
			continue
		}
		r.failures++
		if r.failures == 1 && ctx.Err() == nil {
			r.cfg.Logger.Warn("failed to read log", "stream", r.cfg.Stream, "error", err)
		}
		// The only error is that ctx has ended, which the loop condition checks.
		_ = clock.Sleep(ctx, r.cfg.Clock, Backoff(r.failures))
	}
}

func (r *Reader) readBatch(ctx context.Context) error {
	from := r.cfg.Sink.Next()
	batch, err := r.cfg.Log.Read(ctx, r.cfg.Stream, from, r.wait())
	var trimmed *stream.ErrTrimmed
	if errors.As(err, &trimmed) {
		r.cfg.Logger.Info("log no longer has the wanted records", "stream", r.cfg.Stream, "wanted", from, "first", trimmed.First)
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

// wait returns how long a read may wait for records: 0 until the reader has caught
// up, so that an empty batch shows the end of the stream at once.
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

// Backoff returns the delay before the next attempt after a number of consecutive
// failures.
func Backoff(failures int) time.Duration {
	d := backoffInitial
	for i := 1; i < failures && d < backoffMax; i++ {
		d *= 2
	}
	return min(d, backoffMax)
}
