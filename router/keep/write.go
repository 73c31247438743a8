package keep

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
)

// RunWrites records origins until ctx ends.
func (k *Keeper) RunWrites(ctx context.Context) {
	for {
		select {
		case <-k.writes:
		case <-ctx.Done():
			return
		}
		for k.write(ctx) {
			if clock.Sleep(ctx, k.cfg.Clock, k.writeInterval()) != nil {
				return
			}
		}
	}
}

// RunCopies has other hosts hold origins that need no record until ctx ends.
func (k *Keeper) RunCopies(ctx context.Context) {
	for {
		select {
		case <-k.copies:
		case <-ctx.Done():
			return
		}
		k.mu.Lock()
		batch := k.unrecorded
		k.unrecorded = nil
		k.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if err := k.cfg.Peers.CopyOrigins(ctx, batch); err != nil {
			k.cfg.Logger.Debug("origins without a record were not copied", "streams", len(batch), "error", err)
		}
		if clock.Sleep(ctx, k.cfg.Clock, minWriteInterval) != nil {
			return
		}
	}
}

// writeInterval returns the time between two writes: all hosts together leave most of the
// store's writes to others.
func (k *Keeper) writeInterval() time.Duration {
	k.mu.Lock()
	failing := k.failing
	k.mu.Unlock()
	if failing {
		return max(retryPause, k.pace())
	}
	return k.pace()
}

func (k *Keeper) pace() time.Duration {
	if k.cfg.WriteRate <= 0 {
		return minWriteInterval
	}
	return max(minWriteInterval, time.Duration(float64(k.cfg.HostCount())/(writeShare*k.cfg.WriteRate)*float64(time.Second)))
}

// write records the origins that wait. It reports false if there were none. What it could
// not record waits on.
func (k *Keeper) write(ctx context.Context) bool {
	now := k.cfg.Clock.Boot()
	k.mu.Lock()
	batch := slices.Clone(k.pending[:min(maxBatch, len(k.pending))])
	if len(batch) > 0 {
		k.writing = now
	}
	k.mu.Unlock()
	if len(batch) == 0 {
		return false
	}
	copies := &copying{peers: k.cfg.Peers, origins: originsToCopy(batch), done: make(chan error, 1)}
	go copies.run(ctx)
	era, err := k.cfg.Log.AppendOrigins(ctx, k.newBatch(batch))
	if errCopies := <-copies.done; err == nil {
		err = errCopies
	}
	if ctx.Err() != nil {
		return false
	}
	k.recordWrite(batch, now, err)
	k.receiveEra(era)
	return true
}

// newBatch returns what entries add to the log.
func (k *Keeper) newBatch(entries []*entry) feed.OriginBatch {
	var out feed.OriginBatch
	for _, e := range entries {
		if e.repeatedIn > 0 {
			out.Repeated = feed.NewRepeatMark(k.cfg.Host, e.repeatedIn)
			continue
		}
		out.Origins = append(out.Origins, e.Origin)
	}
	return out
}

// originsToCopy returns the origins of entries of which other hosts don't have copies yet.
func originsToCopy(entries []*entry) []feed.Origin {
	return lo.FilterMap(entries, func(e *entry, _ int) (feed.Origin, bool) { return e.Origin, !e.isRepeated && e.repeatedIn == 0 })
}

// copying has other hosts hold copies of origins.
type copying struct {
	peers   Peers
	origins []feed.Origin
	done    chan error
}

func (c *copying) run(ctx context.Context) {
	if len(c.origins) == 0 {
		c.done <- nil
		return
	}
	c.done <- c.peers.CopyOrigins(ctx, c.origins)
}

// recordWrite records the result of a write that began at started.
func (k *Keeper) recordWrite(batch []*entry, started time.Duration, err error) {
	now := k.cfg.Clock.Boot()
	k.mu.Lock()
	failedBefore := k.failing
	k.writing, k.failing = 0, err != nil
	if err == nil {
		k.pending = k.pending[len(batch):]
		for _, e := range batch {
			close(e.done)
		}
		k.remember(k.newBatch(batch).Origins, now)
	}
	waiting := len(k.pending)
	k.mu.Unlock()
	switch {
	case err != nil:
		k.failures.Inc()
		if !failedBefore {
			k.cfg.Logger.Warn("origins of streams can't be recorded, new streams begin at base builds", "waiting", waiting, "ms", (now - started).Milliseconds(), "error", err)
		}
	default:
		k.records.Add(len(batch))
		if failedBefore {
			k.cfg.Logger.Info("origins of streams are recorded again", "recorded", len(batch), "waiting", waiting)
		}
	}
}
