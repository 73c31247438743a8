// Package plan schedules weight updates: it decides which engine is ordered to load
// which version next, so that all engines reach the newest weights while most of them
// continue to serve.
//
// It handles versions that are published faster than engines can load them, orders
// that get no response but are executed late, and engines that restart during an
// update. Each step compares the actual with the desired state, and skips versions that
// were superseded before an engine was scheduled.
package plan

import (
	"cmp"
	"slices"
	"time"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

const (
	// maxLoadingShare is the largest share of a service's engines that load weights
	// concurrently. More of them would slow each other down.
	maxLoadingShare = 0.2
	// initialLoadTime is the assumed time to load weights before the first measurement.
	initialLoadTime = 400 * time.Millisecond
	// reportLag is subtracted from a measured load time, because an engine's report is that
	// old when it arrives; minLoadTime is the lower bound of the result.
	minLoadTime = 150 * time.Millisecond
	reportLag   = 200 * time.Millisecond
	// orderTimeout is the time after which an order without effect is treated as lost.
	// Running requests can delay an order for several seconds.
	orderTimeout = 6 * time.Second
	// retryDelay is the time after which an order without response is sent again. The
	// engine accepts an order only if it names the engine's current order count, so
	// only one of the two can take effect, also if the first one arrives late.
	retryDelay = 1200 * time.Millisecond
	// reportMaxAge is how long an engine's report takes precedence over the endpoint
	// list, which is updated later.
	reportMaxAge = 5 * time.Second
)

// Step is an order to send to an engine.
type Step struct {
	Endpoint *site.Endpoint
	Model    string
	// CurrentVersion is the version that the engine has loaded, TargetVersion the one
	// that it is ordered to load.
	CurrentVersion int
	TargetVersion  int
	// OrderCount is the number of orders that the engine has accepted, or
	// UnknownOrderCount if it has to be queried first.
	OrderCount int64
	// At is when to send the order, and LoadTime the expected time to load the
	// weights.
	At       time.Duration
	LoadTime time.Duration
}

// UnknownOrderCount is the order count of an engine that was not queried yet.
const UnknownOrderCount int64 = -1

// Plan tracks the orders in progress. It is not safe for concurrent use.
type Plan struct {
	// inProgress holds the last order of each engine that has one in progress.
	inProgress map[string]progress
	// reports holds the last report that each engine sent while not busy with an update.
	reports map[string]timedReport
	// orderCounts holds the number of orders that each engine has accepted, if it is known.
	orderCounts map[string]int64
	// loadTime is the shortest measured time to load weights.
	loadTime time.Duration
}

type progress struct {
	step Step
	// accepted is false after an error or a conflict.
	accepted bool
}

type timedReport struct {
	feed.Report
	at time.Duration
}

// New returns a plan with no orders in progress.
func New() *Plan {
	p := &Plan{loadTime: initialLoadTime}
	p.Reset()
	return p
}

// Reset clears the state of all orders, since another host may have sent some in the
// meantime.
func (p *Plan) Reset() {
	p.inProgress = make(map[string]progress)
	p.reports = make(map[string]timedReport)
	p.orderCounts = make(map[string]int64)
}

// Outdated returns a step for each engine whose weights are older than the newest version.
func (p *Plan) Outdated(v *mirror.View, now time.Duration) []Step {
	var out []Step
	if !v.EndpointsRead || v.Config == nil {
		return nil
	}
	for _, e := range v.Endpoints {
		if e.Draining {
			continue
		}
		for model, current := range p.currentWeights(e, now) {
			if newest := v.NewestWeights(model); newest > current {
				out = append(out, Step{Endpoint: e, Model: model, CurrentVersion: current, TargetVersion: newest, OrderCount: p.orderCount(e.ID)})
				break
			}
		}
	}
	return out
}

func (p *Plan) orderCount(id string) int64 {
	if n, ok := p.orderCounts[id]; ok {
		return n
	}
	return UnknownOrderCount
}

// currentWeights returns the weights of an engine, from its report or from the endpoint
// list, whichever is newer.
func (p *Plan) currentWeights(e *site.Endpoint, now time.Duration) map[string]int {
	r, ok := p.reports[e.ID]
	if !ok || now-r.at >= reportMaxAge {
		return e.Weights
	}
	for model, version := range e.Weights {
		if version > r.Weights[model] {
			return e.Weights
		}
	}
	return r.Weights
}

// Next returns the orders to send now, for engines with the oldest weights first and the
// least loaded ones among equals. Each is due after leadTime. Loads in progress that are
// expected to finish by then don't count towards maxLoadingShare.
func (p *Plan) Next(v *mirror.View, load map[string]int, now, leadTime time.Duration) []Step {
	p.dropRestarted(v)
	outdated := p.Outdated(v, now)
	isOutdated := make(map[string]bool, len(outdated))
	for _, s := range outdated {
		isOutdated[s.Endpoint.ID] = true
	}
	for id, active := range p.inProgress {
		if !isOutdated[id] || now-active.step.At > orderTimeout || !active.accepted && now-active.step.At > retryDelay {
			delete(p.inProgress, id)
		}
	}
	slices.SortFunc(outdated, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.CurrentVersion, b.CurrentVersion), cmp.Compare(load[a.Endpoint.ID], load[b.Endpoint.ID]), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	loading := make(map[string]int)
	for _, active := range p.inProgress {
		if active.accepted && now+leadTime < active.step.At+p.loadTime {
			loading[active.step.Endpoint.Service]++
		}
	}
	var out []Step
	for _, s := range outdated {
		service := s.Endpoint.Service
		limit := max(1, int(maxLoadingShare*float64(len(v.ByService[service]))))
		if _, ok := p.inProgress[s.Endpoint.ID]; ok || loading[service] >= limit {
			continue
		}
		loading[service]++
		s.At, s.LoadTime = now+leadTime, p.loadTime
		p.inProgress[s.Endpoint.ID] = progress{step: s, accepted: true}
		out = append(out, s)
	}
	return out
}

// dropRestarted drops the orders to engines that have restarted under their ID since. Such an
// engine knows nothing of an order, and counts its orders from 0 again.
func (p *Plan) dropRestarted(v *mirror.View) {
	for id, active := range p.inProgress {
		if e := v.Endpoints[id]; e != nil && !e.Started.Equal(active.step.Endpoint.Started) {
			delete(p.inProgress, id)
			delete(p.orderCounts, id)
			delete(p.reports, id)
		}
	}
}

// HandleVerdict records an engine's verdict on an order, or the error of the call.
func (p *Plan) HandleVerdict(s Step, verdict feed.Verdict, err error, now time.Duration) {
	id := s.Endpoint.ID
	switch {
	case err != nil || verdict == feed.Conflict:
		s.At = now
		p.inProgress[id] = progress{step: s}
		delete(p.orderCounts, id)
	case verdict == feed.AlreadyDone:
		p.HandleReport(id, feed.Report{OrderCount: s.OrderCount, Weights: map[string]int{s.Model: s.TargetVersion}}, now)
	default:
		p.orderCounts[id] = s.OrderCount + 1
	}
}

// HandleReport records a status report of an engine.
func (p *Plan) HandleReport(id string, r feed.Report, now time.Duration) {
	if !r.Busy {
		p.reports[id] = timedReport{Report: r, at: now}
	}
	// A report is a few hundred milliseconds old and must not overwrite the count from a
	// later verdict.
	if n, ok := p.orderCounts[id]; !ok || r.OrderCount > n {
		p.orderCounts[id] = r.OrderCount
	}
	active, ok := p.inProgress[id]
	if ok && !r.Busy && r.Weights[active.step.Model] >= active.step.TargetVersion {
		delete(p.inProgress, id)
		p.loadTime = max(minLoadTime, min(p.loadTime, now-active.step.At-reportLag))
	}
}

// InProgress returns the IDs of the engines with an order in progress.
func (p *Plan) InProgress() map[string]bool {
	out := make(map[string]bool, len(p.inProgress))
	for id := range p.inProgress {
		out[id] = true
	}
	return out
}
