package watch

import (
	"context"
	"time"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

// RunEntries polls the endpoints' entries until ctx ends.
func (w *Watcher) RunEntries(ctx context.Context) {
	tick := w.cfg.Clock.Subscribe(pollInterval)
	defer tick.Stop()
	status := w.newStoreStatus("endpoints")
	for {
		w.mu.Lock()
		m := w.entriesMark
		w.mu.Unlock()
		if w.shouldRead(m, w.cfg.Role(), w.cfg.EntriesInterval) {
			w.readEntries(ctx, m, status)
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) readEntries(ctx context.Context, m readMark, status *storeStatus) {
	from := m.Next
	if from == 0 {
		from = feed.Newest
	}
	e, started, err := w.entries(ctx, from)
	if err == nil && !e.Complete && e.Era > m.Era {
		// The offset was of an earlier era.
		e, started, err = w.entries(ctx, feed.Newest)
	}
	if ctx.Err() != nil {
		return
	}
	status.record(err)
	if err == nil {
		w.applyEntries(e, started)
		return
	}
	w.mu.Lock()
	w.entriesMark.failed = true
	if feed.IsErrTrimmed(err) {
		w.entriesMark.Next = 0
	}
	w.mu.Unlock()
	w.pauseAfter(ctx, err)
}

// entries reads entries of endpoints and returns when the read started.
func (w *Watcher) entries(ctx context.Context, from int64) (feed.Entries, time.Duration, error) {
	started := w.cfg.Clock.Boot()
	w.reads.Inc()
	e, err := w.cfg.Store.Entries(ctx, from)
	return e, started, err
}

func (w *Watcher) applyEntries(e feed.Entries, started time.Duration) {
	for _, fault := range e.Faults {
		w.cfg.Logger.Warn("ignored invalid endpoint entry", "error", fault)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.entriesMark; known.known && e.Era > known.Era {
		w.cfg.Logger.Warn("store was restored from a copy", "reads", "endpoints", "era", e.Era, "next", e.Next, "era-before", known.Era, "next-before", known.Next)
	}
	w.entriesMark.update(feed.ReadMark{Era: e.Era, Next: e.Next, Started: started, Own: true})
	w.updateMirror(w.endpoints.apply(e, w.cfg.Clock.Boot()), e.Next)
	w.cfg.Mirror.MarkEndpointsCurrent(started)
}

// updateMirror copies the endpoint list to the mirror if it has changed or if the
// mirror has none yet. The caller holds the lock.
func (w *Watcher) updateMirror(changes []change, next int64) {
	for _, c := range changes {
		w.cfg.Logger.Info("endpoint changed", "id", c.id, "change", c.kind, "next", next)
	}
	if len(changes) > 0 || !w.cfg.Mirror.View().EndpointsRead {
		list := w.endpoints.list()
		w.fingerprint = mirror.Fingerprint(list)
		w.cfg.Mirror.SetEndpoints(list)
	}
}

// Endpoints returns the endpoint list, its fingerprint and its newest read. It returns
// false without a current read, and also while the list keeps expired entries:
// hosts that could read all the time know better which endpoints are gone.
func (w *Watcher) Endpoints() (list map[string]*site.Endpoint, fingerprint uint64, read feed.ReadMark, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cfg.Mirror.View().Endpoints, w.fingerprint, w.entriesMark.ReadMark, w.entriesMark.known && !w.entriesMark.failed && !w.endpoints.keepsExpired(w.cfg.Clock.Boot())
}

// ReceiveEndpoints applies the endpoint list of another host; list is nil if it equals
// this host's list. A read that is not newer than the known one is ignored.
func (w *Watcher) ReceiveEndpoints(list map[string]*site.Endpoint, read feed.ReadMark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entriesMark.received = max(w.entriesMark.received, read.Started)
	if w.entriesMark.known && read.Started <= w.entriesMark.Started {
		return
	}
	// The end offset of that read is unknown, so the next read by this host requests
	// the current entries of all endpoints instead of the records since an offset.
	w.entriesMark.update(feed.ReadMark{Era: read.Era, Started: read.Started})
	w.endpoints.recordRead(read.Started)
	if list != nil {
		w.updateMirror(w.endpoints.replace(list, read.Era, w.cfg.Clock.Boot()), 0)
	}
	w.cfg.Mirror.MarkEndpointsCurrent(read.Started)
}
