package claim

import (
	"context"
	"slices"

	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/ledger"
	"cicadastand.dev/core/state/stream"
)

// maxBatch is the maximum number of records in one append.
const maxBatch = 256

// Run appends the queued records in batches until ctx ends. It retries failed
// appends: a record that is in the log twice has no further effect.
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
			c.cfg.Logger.Warn("failed to append claims records", "records", len(batch), "error", err)
			c.requeue(batch)
			// The only error is that ctx has ended, which the loop condition checks.
			_ = clock.Sleep(ctx, c.cfg.Clock, follow.Backoff(failures))
			continue
		}
		failures = 0
		c.batchAppended()
	}
}

// Drain waits until all queued records are in the log, or ctx ends. It reports
// whether the queue is empty.
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

// sleep waits for a record to append. It reports false if ctx has ended.
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

// withdraw removes the attempt's claim from the queue. If an append was tried, the
// claim may be in the log, and a release is queued; the caller holds the lock.
func (c *Coordinator) withdraw(a *Attempt) {
	c.queue = slices.DeleteFunc(c.queue, func(r ledger.Record) bool {
		return r.Kind == ledger.KindClaim && r.Attempt == a.rec.Attempt
	})
	if !a.appendTried {
		return
	}
	c.enqueue(ledger.Record{Kind: ledger.KindRelease, ID: a.rec.ID, Attempt: a.rec.Attempt, Created: a.rec.Created})
}

// takeBatch removes the next batch from the queue.
func (c *Coordinator) takeBatch() []ledger.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), maxBatch)
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

// requeue puts a batch whose append failed back to the front of the queue, without
// the claims of attempts that were abandoned in the meantime.
func (c *Coordinator) requeue(batch []ledger.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = 0
	remaining := slices.DeleteFunc(batch, func(r ledger.Record) bool {
		return r.Kind == ledger.KindClaim && !c.isClaiming(r.Attempt)
	})
	c.queue = append(remaining, c.queue...)
}

// isClaiming reports whether the attempt still waits for a verdict; the caller
// holds the lock.
func (c *Coordinator) isClaiming(attempt string) bool {
	a, ok := c.attempts[attempt]
	return ok && a.phase == claiming
}

// batchAppended ends the append in progress, and wakes Drain if the queue is empty.
func (c *Coordinator) batchAppended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = 0
	if len(c.queue) == 0 {
		close(c.idle)
		c.idle = make(chan struct{})
	}
}
