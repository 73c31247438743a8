package send

import (
	"context"
	"errors"
	"slices"
	"time"

	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/prefix"
)

// offloadStore is the name of the KV cache store in the index. It is not a valid
// endpoint name.
const offloadStore = "(kept)"

// choose selects the endpoint for the next attempt and registers the job there. A
// request suspected of crashing engines waits until an endpoint runs no other
// suspect.
func (d *Dispatcher) choose(ctx context.Context, r *run) (fleet.Endpoint, error) {
	for {
		usable := d.awaitEndpoint(ctx, r)
		if len(usable) == 0 {
			return fleet.Endpoint{}, &ErrNoEndpoint{Model: r.job.Model.Name}
		}
		if e, ok := d.startOnOne(r, usable); ok {
			return e, nil
		}
		if err := clock.Sleep(ctx, d.cfg.Clock, retryDelay); err != nil {
			return fleet.Endpoint{}, errors.Join(&ErrNoEndpoint{Model: r.job.Model.Name}, err)
		}
	}
}

// Version returns the weights version that currently serves a model: the configured
// one, or the previous one until an engine has loaded the configured one.
func (d *Dispatcher) Version(m fleet.Model) string {
	if m.PreviousVersion == "" {
		return m.WeightsVersion
	}
	previous := false
	for _, e := range d.cfg.Views.View().Fleet.Serving(fleet.KindEngine, m.Name) {
		s := d.cfg.Health.Get(e.Name)
		if s.State != health.Live || s.Report.Loading {
			continue
		}
		switch s.Report.Weights[m.Name] {
		case m.WeightsVersion:
			return m.WeightsVersion
		case m.PreviousVersion:
			previous = true
		}
	}
	if previous {
		return m.PreviousVersion
	}
	return m.WeightsVersion
}

// awaitEndpoint returns the usable endpoints. If there are none, it waits up to
// maxLoadWait for an engine that is loading the weights.
func (d *Dispatcher) awaitEndpoint(ctx context.Context, r *run) []fleet.Endpoint {
	until := d.cfg.Clock.Now().Add(maxLoadWait)
	for {
		usable := d.usable(r)
		if len(usable) > 0 || !d.anyLoading(r.job) || d.cfg.Clock.Now().After(until) {
			return usable
		}
		if clock.Sleep(ctx, d.cfg.Clock, retryDelay) != nil {
			return nil
		}
	}
}

// maxLoadWait is the maximum time that a request waits for an engine to load weights.
const maxLoadWait = 3 * time.Second

// anyLoading reports whether an engine of the model is loading weights, or has yet
// to load the version that the job needs.
func (d *Dispatcher) anyLoading(j *Job) bool {
	for _, e := range d.cfg.Views.View().Fleet.Serving(fleet.KindEngine, j.Model.Name) {
		s := d.cfg.Health.Get(e.Name)
		if s.State == health.Live && (s.Report.Loading || s.Report.Weights[j.Model.Name] != j.Model.WeightsVersion) {
			return true
		}
	}
	return false
}

// startOnOne tries the usable endpoints in the order of the policy and registers the
// job at the first one that accepts it.
func (d *Dispatcher) startOnOne(r *run, usable []fleet.Endpoint) (fleet.Endpoint, bool) {
	now := d.cfg.Clock.Now()
	for len(usable) > 0 {
		i := d.pick(r, usable)
		e := usable[i]
		if d.cfg.Poison.Start(e.Name, r.job.fingerprint, now) {
			r.wasLive = d.cfg.Health.Get(e.Name).State == health.Live
			return e, true
		}
		usable = slices.Delete(usable, i, i+1)
	}
	return fleet.Endpoint{}, false
}

// pick returns the index of the endpoint that the routing policy prefers, and stores
// in r what is known of its cache.
func (d *Dispatcher) pick(r *run, usable []fleet.Endpoint) int {
	names := make([]string, len(usable))
	for i, e := range usable {
		names[i] = e.Name
	}
	rate := d.cfg.Views.View().Fleet.ImportRate
	r.offloaded = 0
	if rate > 0 {
		r.offloaded = d.cfg.Index.ExpectedPieces(r.job.chain, []string{offloadStore}, d.cfg.Clock.Now())[0]
	}
	cached := d.cfg.Index.ExpectedPieces(r.job.chain, names, d.cfg.Clock.Now())
	candidates := make([]route.Candidate, len(usable))
	for i, e := range usable {
		s := d.cfg.Health.Get(e.Name)
		candidates[i] = route.Candidate{
			Name:          e.Name,
			FailureDomain: e.FailureDomain,
			Slots:         e.Slots,
			PrefillRate:   e.PrefillRate,
			Running:       s.Requests(),
			QueuedTokens:  s.QueuedTokens(),
			ServiceTime:   s.ServiceTime,
			CachedPieces:  cached[i],
		}
	}
	req := route.Request{
		Chain: r.job.chain, Tokens: r.job.tokens, PlacementIndex: route.PlacementIndex(r.job.demand, len(usable)), FailureDomain: d.cfg.FailureDomain, OwnerHitRate: d.ownerHitRate.Value(), OffloadedPieces: r.offloaded, ImportRate: rate,
	}
	chosen := d.cfg.Policy.Choose(req, candidates)
	r.cached = cached[chosen]
	r.isOwner = len(req.Chain) > 0 && route.Owner(req.Chain[req.PlacementIndex], candidates) == chosen
	r.prompt = health.Prompt{Tokens: r.job.tokens, UncachedTokens: uncachedTokens(r, cached[chosen])}
	return chosen
}

// uncachedTokens returns the number of prompt tokens that an endpoint with a number
// of cached pieces has to prefill.
func uncachedTokens(r *run, cached float64) int {
	return max(0, r.job.tokens-int(max(cached, r.offloaded)*prefix.PieceTokens))
}

// usable returns the endpoints of the best state that has any: live, then suspect,
// then ejected. Endpoints on which this job failed are used only if there are no
// others. Endpoints that are shutting down are never used.
func (d *Dispatcher) usable(r *run) []fleet.Endpoint {
	all := d.cfg.Views.View().Fleet.Serving(fleet.KindEngine, r.job.Model.Name)
	classes := []health.State{health.Live, health.Suspect, health.Ejected}
	for _, skipTried := range []bool{true, false} {
		for _, class := range classes {
			if out := d.withState(r, all, class, skipTried); len(out) > 0 {
				return out
			}
		}
	}
	return nil
}

func (d *Dispatcher) withState(r *run, all []fleet.Endpoint, class health.State, skipTried bool) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range all {
		s := d.cfg.Health.Get(e.Name)
		if s.State != class || skipTried && r.tried[e.Name] || !servesVersion(r.job, s) {
			continue
		}
		out = append(out, e)
	}
	return out
}

// servesVersion reports whether the endpoint has the weights version of the job
// loaded. An endpoint that has not reported yet is assumed to.
func servesVersion(j *Job, s health.Status) bool {
	version, ok := s.Report.Weights[j.Model.Name]
	return s.Report.Incarnation == "" || ok && version == j.Model.WeightsVersion && !s.Report.Loading
}
