// Package commit publishes configuration changes to the platform's log.
package commit

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/stream"
)

// Log appends to the platform's log.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may
	// nevertheless be in the log.
	Append(ctx context.Context, name string, data []byte) (uint64, error)
}

// Config holds the dependencies of a Publisher.
type Config struct {
	Clock  clock.Service
	Log    Log
	Store  *follow.Store
	Logger hclog.Logger
}

// Publisher appends changes to the log and waits for their verdicts.
type Publisher struct{ cfg Config }

// New returns a publisher.
func New(cfg Config) *Publisher { return &Publisher{cfg: cfg} }

// ErrOutcomeUnknown reports a change that may or may not have been appended to the log.
type ErrOutcomeUnknown struct {
	// ID is the record's ID. If the change was published, the history lists it.
	ID  string
	Err error
}

// Error returns a message with the change's ID and the cause.
func (e *ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("change %s may or may not be published, see the history: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *ErrOutcomeUnknown) Unwrap() error { return e.Err }

// Publish appends a change and returns its verdict once the change was read back
// from the log. If the response to an append is lost, the verdict read from the
// log decides. Appending the record again is harmless: if the first append succeeded,
// the second record is rejected, since its base version is no longer the current one.
func (p *Publisher) Publish(ctx context.Context, change conf.Change) (conf.Verdict, error) {
	rec := conf.Record{Kind: conf.KindChange, ID: uuid.NewString(), Change: &change}
	data, err := rec.Encode()
	if err != nil {
		return conf.Verdict{}, fmt.Errorf("publish %s: %w", change.Document, err)
	}
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	found := make(chan conf.Verdict, 1)
	w := &waiter{store: p.cfg.Store, id: rec.ID, found: found}
	go w.run(waiting)
	for failures := 1; ; failures++ {
		_, err := p.cfg.Log.Append(ctx, stream.Config, data)
		if err == nil {
			return p.await(ctx, rec.ID, found)
		}
		p.cfg.Logger.Warn("failed to append configuration change", "change", rec.ID, "error", err)
		sub := p.cfg.Clock.Once(follow.Backoff(failures))
		select {
		case v := <-found:
			sub.Stop()
			return v, nil
		case <-sub.C():
		case <-ctx.Done():
			sub.Stop()
			return conf.Verdict{}, &ErrOutcomeUnknown{ID: rec.ID, Err: ctx.Err()}
		}
	}
}

func (p *Publisher) await(ctx context.Context, id string, found <-chan conf.Verdict) (conf.Verdict, error) {
	select {
	case v := <-found:
		return v, nil
	case <-ctx.Done():
		return conf.Verdict{}, &ErrOutcomeUnknown{ID: id, Err: ctx.Err()}
	}
}

// waiter waits for the verdict on one record.
type waiter struct {
	store *follow.Store
	id    string
	found chan<- conf.Verdict
}

func (w *waiter) run(ctx context.Context) {
	// The only error is that ctx has ended, and then nobody waits for the verdict.
	_ = w.store.Wait(ctx, func(s *conf.State) bool {
		for _, v := range s.History() {
			if v.ID == w.id {
				w.found <- v
				return true
			}
		}
		return false
	})
}

// IsErrOutcomeUnknown reports whether err holds an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	var target *ErrOutcomeUnknown
	return errors.As(err, &target)
}
