// Package watch keeps a host's board current from the platform's store.
package watch

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/sight"
)

// Store is the reading side of the platform's store.
type Store interface {
	// Published returns what the operator published since an offset, waiting up
	// to wait for something new.
	Published(ctx context.Context, from int64, wait time.Duration) (feed.Published, error)
	// Entries returns what endpoints have written since an offset.
	Entries(ctx context.Context, from int64) (feed.Entries, error)
}

// Timer is the service that tells both kinds of time.
type Timer interface {
	clock.Service
	clock.Boot
}

// Config says what a Watcher works with.
type Config struct {
	Clock Timer
	Store Store
	Board *sight.Board
	// PublishedWait is how long one read waits for the operator. The proof that a
	// key holds is as old as two such reads at most.
	PublishedWait time.Duration
	// EntriesInterval is the time between reads of the endpoints' entries.
	EntriesInterval time.Duration
	Logger          hclog.Logger
	Metrics         *metrics.Set
}

const (
	// retryPause is the wait after a read that failed. Each call has its price,
	// and a store that turns hosts away is not helped by more of them.
	retryPause = 400 * time.Millisecond
	// outageAfter is the time without a read after which entries may have lapsed
	// because the store was away: the renewals of the endpoints failed as well.
	outageAfter = 1500 * time.Millisecond
	// returnTime is how long endpoints that live have to renew their entries after
	// the store's return, as the platform promises it.
	returnTime = 2 * time.Second
)

// Watcher reads the store in two loops.
type Watcher struct {
	cfg      Config
	entries  *roster
	failures *metrics.Counter
}

// New returns a watcher.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, entries: newRoster(), failures: cfg.Metrics.NewCounter("cicada_store_read_failures_total")}
}

// RunPublished follows the operator until ctx ends.
func (w *Watcher) RunPublished(ctx context.Context) {
	from := feed.Newest
	link := w.link("configuration")
	for ctx.Err() == nil {
		started := w.cfg.Clock.Boot()
		p, err := w.cfg.Store.Published(ctx, from, w.cfg.PublishedWait)
		link.note(err)
		if err != nil {
			from = w.after(ctx, from, err)
			continue
		}
		from = p.Next
		w.published(p)
		w.cfg.Board.Verify(started)
	}
}

// after returns where to read on after a failure, once it has waited.
func (w *Watcher) after(ctx context.Context, from int64, err error) int64 {
	if feed.IsErrTrimmed(err) {
		return feed.Newest
	}
	w.failures.Inc()
	if clock.Sleep(ctx, w.cfg.Clock, retryPause) != nil {
		w.cfg.Logger.Debug("reading ends")
	}
	return from
}

func (w *Watcher) published(p feed.Published) {
	for _, fault := range p.Faults {
		w.cfg.Logger.Warn("record of the operator can't be used", "error", fault)
	}
	if p.Config != nil && w.cfg.Board.SetConfig(p.Config) {
		w.cfg.Logger.Info("configuration", "version", p.Config.Version, "next", p.Next)
	}
	for model, version := range p.Weights {
		if w.cfg.Board.SetWeights(model, version, w.cfg.Clock.Boot()) {
			w.cfg.Logger.Info("weights named", "model", model, "version", version, "next", p.Next)
		}
	}
}

// RunEntries follows the endpoints' entries until ctx ends.
func (w *Watcher) RunEntries(ctx context.Context) {
	tick := w.cfg.Clock.Subscribe(w.cfg.EntriesInterval)
	defer tick.Stop()
	from := feed.Newest
	link := w.link("endpoints")
	for {
		e, err := w.cfg.Store.Entries(ctx, from)
		now := w.cfg.Clock.Boot()
		link.note(err)
		if err != nil {
			from = w.after(ctx, from, err)
		} else {
			from = e.Next
			w.take(e, now)
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) take(e feed.Entries, now time.Duration) {
	for _, fault := range e.Faults {
		w.cfg.Logger.Warn("entry names no endpoint", "error", fault)
	}
	for _, c := range w.entries.take(e, now) {
		w.cfg.Logger.Info("endpoint", "id", c.id, "change", c.what, "next", e.Next)
	}
	w.cfg.Board.SetEndpoints(w.entries.list())
}

// link logs when a dependency is lost and regained.
type link struct {
	w    *Watcher
	name string
	lost bool
	ok   time.Duration
}

func (w *Watcher) link(name string) *link { return &link{w: w, name: name, ok: w.cfg.Clock.Boot()} }

func (l *link) note(err error) {
	now := l.w.cfg.Clock.Boot()
	lost := err != nil && !feed.IsErrTrimmed(err)
	switch {
	case lost && !l.lost:
		l.w.cfg.Logger.Warn("store lost", "reads", l.name, "error", err)
	case !lost && l.lost:
		l.w.cfg.Logger.Info("store regained", "reads", l.name, "away-ms", (now - l.ok).Milliseconds())
	}
	l.lost = lost
	if !lost {
		l.ok = now
	}
}
