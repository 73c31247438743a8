package watch

import (
	"bytes"
	"context"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/site"
)

// RunPublished follows the operator's records until ctx ends.
func (w *Watcher) RunPublished(ctx context.Context) {
	tick := w.cfg.Clock.Subscribe(pollInterval)
	defer tick.Stop()
	status := w.newStoreStatus("configuration")
	readNewest, readsForOthers := false, false
	for {
		m := w.publishedMark()
		wait := w.cfg.PublishedWait
		role := w.cfg.Role()
		reads := w.shouldRead(m, role, 0)
		if forOthers := reads && role != Member; forOthers != readsForOthers {
			readsForOthers = forOthers
			w.logReadsForOthers(forOthers, role, m)
		}
		if m.failed || role == Hub && !m.Own {
			// A current read is needed at once: keys can't be used without one.
			wait = 0
		}
		if !reads {
			select {
			case <-w.newRecords:
				wait = 0
			case <-tick.C():
				continue
			case <-ctx.Done():
				return
			}
		}
		from := m.Next
		if !m.known || readNewest {
			from = feed.Newest
		}
		started := w.cfg.Clock.Boot()
		w.reads.Inc()
		p, err := w.cfg.Store.Published(ctx, from, wait)
		if ctx.Err() != nil {
			return
		}
		status.record(err)
		readNewest = feed.IsErrTrimmed(err)
		if readNewest {
			w.cfg.Logger.Info("store lacks the operator's records from an offset on", "from", from, "error", err)
		}
		if err != nil {
			w.mu.Lock()
			w.published.failed = true
			w.mu.Unlock()
			w.pauseAfter(ctx, err)
			continue
		}
		if from != feed.Newest && p.Era > m.Era {
			// The offset was of an earlier era.
			readNewest = true
			continue
		}
		if !w.applyPublished(p, started, ownRead) {
			// Sleep fails only if ctx has ended, which the loop checks as well.
			_ = clock.Sleep(ctx, w.cfg.Clock, retryPause)
		}
	}
}

// ownRead is the source of what this host has read from the store itself.
const ownRead = "store"

// applyPublished applies a read of the operator's records, by this host or by the host from.
// It reports false if the read ended before the known one. The configuration and the versions
// of weights never go back.
func (w *Watcher) applyPublished(p feed.Published, started time.Duration, from string) bool {
	for _, fault := range p.Faults {
		w.cfg.Logger.Warn("ignored invalid record of the operator", "error", fault)
	}
	if p.Config != nil && w.cfg.Mirror.SetConfig(p.Config) {
		size := lo.SumBy(p.Records, func(r feed.Record) int { return len(r.Value) })
		w.configBytes.Set(float64(size))
		w.cfg.Logger.Info("configuration updated", "version", p.Config.Version, "era", p.Era, "next", p.Next, "cache-scope", p.Config.CacheScope(nil),
			"bytes", size, "from", from, "read-age-ms", (w.cfg.Clock.Boot() - started).Milliseconds())
	}
	w.applyWeights(p)
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.published
	read := feed.ReadMark{Era: p.Era, Next: p.Next, Started: started, Own: from == ownRead}
	if p.Era == 0 {
		read.Era = known.Era
	}
	restored := known.known && read.Era > known.Era
	for _, r := range p.Records {
		if !restored && !w.outdated || !w.isOlder(r) {
			w.records[r.Key] = r.Value
		}
	}
	if restored {
		w.cfg.Logger.Warn("store was restored from a copy", "reads", "configuration", "era", read.Era, "next", read.Next, "era-before", known.Era, "next-before", known.Next)
		select {
		case w.eras <- struct{}{}:
		default:
		}
	}
	if known.known && read.Precedes(known.ReadMark) {
		w.cfg.Logger.Info("ignored read of the operator's records that ends before the known one", "era", read.Era, "next", read.Next, "known-era", known.Era, "known-next", known.Next)
		return false
	}
	w.updateOutdated(p.Config)
	w.published.update(read)
	w.markConfigCurrent(started)
	return true
}

func (w *Watcher) applyWeights(p feed.Published) {
	starting := !w.publishedMark().known
	now := w.cfg.Clock.Boot()
	for model, version := range p.Weights {
		isNew := false
		if starting {
			isNew = w.cfg.Mirror.AssumeWeights(model, version, now-startVersionAge)
		} else {
			isNew = w.cfg.Mirror.SetWeights(model, version, now)
		}
		if isNew {
			w.cfg.Logger.Info("new weights version published", "model", model, "version", version, "next", p.Next)
		}
	}
}

// isOlder reports whether a record of the operator has an older version than this host
// knows.
func (w *Watcher) isOlder(r feed.Record) bool {
	p := w.cfg.Store.Decode([]feed.Record{r})
	view := w.cfg.Mirror.View()
	if p.Config != nil && view.Config != nil && p.Config.Version < view.Config.Version {
		return true
	}
	for model, version := range p.Weights {
		if version < view.NewestWeights(model) {
			return true
		}
	}
	return false
}

// updateOutdated compares a configuration in the store, nil if it was not read, with that of
// this host; the caller holds the lock.
func (w *Watcher) updateOutdated(stored *site.Config) {
	if stored == nil {
		return
	}
	outdated := stored.Version < w.cfg.Mirror.View().Config.Version
	if outdated != w.outdated {
		w.cfg.Logger.Info("store has an older configuration than this host", "on", outdated, "stored", stored.Version, "version", w.cfg.Mirror.View().Config.Version)
	}
	w.outdated = outdated
}

// markConfigCurrent records that a read which began at started found no newer configuration.
// A store that lacks the one of this host may also lack a newer one; the caller holds the
// lock.
func (w *Watcher) markConfigCurrent(started time.Duration) {
	if !w.outdated {
		w.cfg.Mirror.MarkConfigCurrent(started)
	}
}

// Records returns the operator's newest record of each key.
func (w *Watcher) Records() []feed.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.MapToSlice(w.records, func(key string, value []byte) feed.Record { return feed.Record{Key: key, Value: value} })
}

// ReceiveRecords applies the operator's newest records, which another host has. They
// include the records that it has read up to its mark.
func (w *Watcher) ReceiveRecords(records []feed.Record, read feed.ReadMark, from string) {
	m := w.publishedMark()
	if m.known && m.Era == read.Era {
		// A large configuration is not decoded again for a change of another record.
		records = w.changed(records)
	}
	p := w.cfg.Store.Decode(records)
	p.Era, p.Next = read.Era, read.Next
	if !m.known || m.Precedes(read) {
		w.applyPublished(p, read.Started, from)
		return
	}
	// The other host may still have a configuration that a restored store lacks.
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.Config != nil && w.cfg.Mirror.SetConfig(p.Config) {
		w.cfg.Logger.Info("configuration received that the store lacks", "version", p.Config.Version, "from", from)
		w.outdated = true
		for _, r := range records {
			w.records[r.Key] = r.Value
		}
	}
}

// changed returns the records that differ from those of this host. While the store has an older
// configuration than this host, it returns all.
func (w *Watcher) changed(records []feed.Record) []feed.Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outdated {
		return records
	}
	return lo.Filter(records, func(r feed.Record, _ int) bool {
		known, ok := w.records[r.Key]
		return !ok || !bytes.Equal(known, r.Value)
	})
}

// Published returns the newest read of the operator's records. It returns false without
// a current read.
func (w *Watcher) Published() (feed.ReadMark, bool) {
	m := w.publishedMark()
	return m.ReadMark, m.known && !m.failed
}

// ReceiveOffer records a read by a host that offers the records that it found.
func (w *Watcher) ReceiveOffer(read feed.ReadMark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.published.received = max(w.published.received, read.Started)
}

// RecordsArrive records that a part of offered records has arrived.
func (w *Watcher) RecordsArrive(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.published.arrival = now
}

// ReceivePublished applies the result of another host's read. If it ended at the
// offset that this host has, the configuration of this host was current when that read
// started. If it ended later, this host has to read the new records.
func (w *Watcher) ReceivePublished(read feed.ReadMark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.published.received = max(w.published.received, read.Started)
	switch {
	case !w.published.known || w.published.Precedes(read):
		select {
		case w.newRecords <- struct{}{}:
		default:
		}
	case !read.Precedes(w.published.ReadMark) && read.Started > w.published.Started:
		w.published.update(read)
		w.markConfigCurrent(read.Started)
	}
}
