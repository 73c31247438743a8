package keep

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

const (
	// observeInterval is the time between two looks at the endpoint list.
	observeInterval = 100 * time.Millisecond
	// baseInterval is the time between two reads of base builds while they are needed.
	baseInterval = time.Second
	// followDelay is how long other hosts leave it to the lead to set a base build.
	followDelay = 5 * time.Second
)

// RunReads reads origins for those who wait for them until ctx ends.
func (k *Keeper) RunReads(ctx context.Context) {
	for {
		select {
		case <-k.reads:
		case <-ctx.Done():
			return
		}
		k.mu.Lock()
		r := k.nextRead
		k.nextRead = nil
		k.mu.Unlock()
		if r == nil {
			continue
		}
		r.err = k.readOrigins(ctx)
		if now := k.cfg.Clock.Boot(); r.err == nil && now >= k.nextState {
			k.nextState = now + baseInterval
			r.err = k.readEraState(ctx)
		}
		// Right after the start no service was observed yet.
		mayLack := len(k.serviceNames()) == 0 || !k.cfg.Table.IsListCurrent(k.cfg.Clock.Boot()) || k.anyService(k.cfg.Table.MayBeOutdated)
		if r.err == nil && mayLack {
			_, r.err = k.readBases(ctx)
		}
		close(r.done)
	}
}

// readOrigins adds all origins that the store has and this host has not read.
func (k *Keeper) readOrigins(ctx context.Context) error {
	read := 0
	for {
		o, err := k.cfg.Log.Origins(ctx, k.from)
		var trimmed *feed.ErrTrimmed
		switch {
		case errors.As(err, &trimmed) && trimmed.First != k.from:
			k.from = trimmed.First
			continue
		case err != nil:
			return err
		}
		for _, fault := range o.Faults {
			k.cfg.Logger.Warn("ignored invalid record of origins", "error", fault)
		}
		if o.Era > k.era && k.from > 0 {
			// The offset was of an earlier era.
			k.from, k.era = 0, o.Era
			continue
		}
		k.era = max(k.era, o.Era)
		k.receiveEra(o.Era)
		k.cfg.Table.Add(k.cfg.Clock.Boot(), o.Origins...)
		k.cfg.Table.AddRepeated(o.Repeated...)
		read += len(o.Origins)
		if k.from = o.Next; o.Next >= o.End {
			k.cfg.Logger.Info("read origins of streams", "records", read, "next", k.from, "era", k.era)
			return nil
		}
	}
}

// RunBases observes the builds of the services, and reads and sets their base builds, until
// ctx ends.
func (k *Keeper) RunBases(ctx context.Context) {
	tick := k.cfg.Clock.Subscribe(observeInterval)
	defer tick.Stop()
	var seen *mirror.View
	var nextRead, nextState, nextMark, wantedSince time.Duration
	waiting, knowsState := false, false
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		// The view is at least as new as the time that is taken before it.
		listedAt, listed := k.cfg.Mirror.EndpointsReadAt()
		if view := k.cfg.Mirror.View(); view != seen {
			seen = view
			k.observe(view)
		}
		if listed {
			k.cfg.Table.SetListTime(listedAt)
		}
		k.receiveEra(k.cfg.Era())
		now := k.cfg.Clock.Boot()
		if now >= nextState {
			nextState = now + baseInterval
			knowsState = knowsState || k.cfg.Table.Era() > 0 && k.readEraState(ctx) == nil
			k.putEraState(ctx)
		}
		if era := k.cfg.Table.Era(); era != k.markedEra && now >= nextMark {
			nextMark = now + retryPause
			if err := k.markStart(ctx, era); err != nil {
				k.cfg.Logger.Debug("failed to mark the start of this host", "error", err)
			}
		}
		if now < nextRead || len(k.proposals(now)) == 0 && !k.anyService(k.cfg.Table.NeedsRead) {
			continue
		}
		nextRead = now + baseInterval
		b, err := k.readBases(ctx)
		if err != nil {
			k.cfg.Logger.Debug("failed to read base builds", "error", err)
			continue
		}
		wanted := append(k.lostBases(b), k.proposals(now)...)
		if !waiting {
			wantedSince = now
		}
		if waiting = len(wanted) > 0; !waiting {
			continue
		}
		if k.cfg.IsLead() || now-wantedSince > followDelay {
			k.putBases(ctx, b.Next, wanted)
		}
	}
}

// lostBases returns the base builds that this host knows and a read did not find: the store was
// restored from a copy.
func (k *Keeper) lostBases(b feed.Bases) []feed.Base {
	return lo.FilterMap(k.serviceNames(), func(name string, _ int) (feed.Base, bool) {
		known, ok := k.cfg.Table.Base(name)
		found := lo.ContainsBy(b.Bases, func(stored feed.Base) bool { return stored.Service == name && stored.Term >= known.Term })
		return known, ok && !found
	})
}

// observe counts the builds of the services whose streams can be resumed.
func (k *Keeper) observe(view *mirror.View) {
	if view.Config == nil || !view.EndpointsRead {
		return
	}
	services := view.Config.ResumableServices()
	k.mu.Lock()
	k.services = services
	k.mu.Unlock()
	now := k.cfg.Clock.Boot()
	for name := range services {
		listed := lo.Filter(lo.Values(view.Endpoints), func(e *site.Endpoint, _ int) bool { return e.Service == name })
		k.cfg.Table.SetListed(name, lo.CountValuesBy(listed, func(e *site.Endpoint) string { return e.Build }), now)
	}
}

func (k *Keeper) serviceNames() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return lo.Keys(k.services)
}

func (k *Keeper) anyService(holds func(service string) bool) bool {
	return lo.SomeBy(k.serviceNames(), holds)
}

// proposals returns the base builds that should be set.
func (k *Keeper) proposals(now time.Duration) []feed.Base {
	return lo.FilterMap(k.serviceNames(), func(name string, _ int) (feed.Base, bool) { return k.cfg.Table.Propose(name, now) })
}

// readBases reads the base builds.
func (k *Keeper) readBases(ctx context.Context) (feed.Bases, error) {
	started := k.cfg.Clock.Boot()
	b, err := k.cfg.Log.Bases(ctx)
	if err != nil {
		return feed.Bases{}, err
	}
	for _, fault := range b.Faults {
		k.cfg.Logger.Warn("ignored invalid record of a base build", "error", fault)
	}
	for _, base := range b.Bases {
		k.setBase(base, started, "read")
	}
	return b, nil
}

func (k *Keeper) setBase(base feed.Base, started time.Duration, how string) {
	known, _ := k.cfg.Table.Base(base.Service)
	if !k.cfg.Table.SetBase(base, started, k.cfg.Clock.Boot()) {
		k.cfg.Logger.Warn("store has an older base build than this host", "service", base.Service, "build", base.Build, "term", base.Term, "known-term", known.Term)
		return
	}
	if base != known {
		k.cfg.Logger.Info("base build changed", "service", base.Service, "build", base.Build, "term", base.Term, "how", how)
	}
}

// putBases sets base builds in the store, if none was set since a read that ended at an offset.
func (k *Keeper) putBases(ctx context.Context, next int64, bases []feed.Base) {
	for _, base := range bases {
		started := k.cfg.Clock.Boot()
		if err := k.cfg.Log.PutBase(ctx, next, base); err != nil {
			k.cfg.Logger.Info("base build was not set", "service", base.Service, "build", base.Build, "term", base.Term, "error", err)
			return
		}
		k.setBase(base, started, "set")
		next++
	}
}
