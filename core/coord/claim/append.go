package claim

import (
	"context"
	"slices"

	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/ledger"
	"cicadastand.dev/core/state/stream"
)

// batchMax is how many records go into one append.
const batchMax = 256

// Run appends the queued records, many in one append, until ctx ends.
// A failed append is repeated: each record is idempotent in the fold.
func (c *Coordinator) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		batch := c.takeBatch()
		if len(batch) == 0 {
			if !c.sleep(ctx) {
				return
			}
			continue
		}
		if err := c.append(ctx, batch); err != nil {
			failures++
			c.cfg.Logger.Warn("append failed", "records", len(batch), "error", err)
			c.requeue(batch)
			// An error means that ctx has ended, which the loop sees as well.
			_ = clock.Sleep(ctx, c.cfg.Clock, follow.Backoff(failures))
			continue
		}
		failures = 0
		c.batchAppended()
	}
}

// Drain waits until every queued record stands in the log, or ctx ends.
// It reports whether the queue is empty.
func (c *Coordinator) Drain(ctx context.Context) bool {
	for {
		c.mu.Lock()
		empty := len(c.queue)+c.inFlight == 0
		idle := c.idle
		c.mu.Unlock()
		if empty {
			return true
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return false
		}
	}
}

func (c *Coordinator) append(ctx context.Context, batch []ledger.Record) error {
	data, err := ledger.EncodeBatch(batch)
	if err != nil {
		return err
	}
	_, err = c.cfg.Log.Append(ctx, stream.Claims, data)
	return err
}

func (c *Coordinator) sleep(ctx context.Context) bool {
	select {
	case <-c.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// enqueue adds a record to be appended; the caller holds the lock.
func (c *Coordinator) enqueue(rec ledger.Record) {
	c.queue = append(c.queue, rec)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// withdraw drops the attempt's claim if no append was tried yet, and otherwise
// queues its release; the caller holds the lock.
func (c *Coordinator) withdraw(a *Attempt) {
	c.queue = slices.DeleteFunc(c.queue, func(r ledger.Record) bool {
		return r.Kind == ledger.KindClaim && r.Attempt == a.rec.Attempt
	})
	if !a.appendTried {
		return
	}
	c.enqueue(ledger.Record{Kind: ledger.KindRelease, ID: a.rec.ID, Attempt: a.rec.Attempt, Created: a.rec.Created})
}

func (c *Coordinator) takeBatch() []ledger.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), batchMax)
	batch := slices.Clone(c.queue[:n])
	c.queue = slices.Delete(c.queue, 0, n)
	c.inFlight = n
	for _, r := range batch {
		if a, ok := c.attempts[r.Attempt]; ok {
			a.appendTried = true
		}
	}
	return batch
}

// requeue queues a batch again, without the claims that were abandoned meanwhile.
func (c *Coordinator) requeue(batch []ledger.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = 0
	kept := slices.DeleteFunc(batch, func(r ledger.Record) bool {
		return r.Kind == ledger.KindClaim && !c.isClaiming(r.Attempt)
	})
	c.queue = append(kept, c.queue...)
}

func (c *Coordinator) isClaiming(attempt string) bool {
	a, ok := c.attempts[attempt]
	return ok && a.phase == claiming
}

func (c *Coordinator) batchAppended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = 0
	if len(c.queue) == 0 {
		close(c.idle)
		c.idle = make(chan struct{})
	}
}
