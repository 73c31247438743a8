// Package plan decides which engine gets which order next, so that all come to
// the newest weights while most go on serving.
//
// It answers versions that are named faster than engines can take them, orders
// that get no answer and are carried out late, and engines that restart
// meanwhile. It compares what is with what should be at each step, and skips
// versions that were replaced before an engine's turn came.
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
	// maxLoadingShare is the part of a service's engines that load weights at a time:
	// more of them slow each other down.
	maxLoadingShare = 0.2
	// initialLoadTime is the time to load weights that is assumed before one was seen.
	initialLoadTime = 400 * time.Millisecond
	// minLoadTime and reportLag correct what is seen of a load: a report is that old.
	minLoadTime = 150 * time.Millisecond
	reportLag   = 200 * time.Millisecond
	// orderTimeout is when an order without effect is taken as lost. Running requests
	// may hold an order up for some seconds.
	orderTimeout = 6 * time.Second
	// retryDelay is when an order that got no answer is given again, with the
	// same condition, so that only one of them can take effect.
	retryDelay = 1200 * time.Millisecond
	// reportMaxAge is how long a report goes before the list, which comes later.
	reportMaxAge = 5 * time.Second
)

// Step is one order to give.
type Step struct {
	Endpoint *site.Endpoint
	Model    string
	// CurrentVersion is the version that the engine has, Version the one that it should have.
	CurrentVersion int
	TargetVersion  int
	// OrderCount is the number of orders that the engine has accepted; Unknown if
	// it has to be asked first.
	OrderCount int64
	// At is when to give the order, and Load how long the engine is expected to
	// take.
	At       time.Duration
	LoadTime time.Duration
}

// UnknownOrderCount is the order count of an engine that was not asked yet.
const UnknownOrderCount int64 = -1

// Plan tracks the orders in progress. It is not safe for concurrent use.
type Plan struct {
	// inProgress are the engines with an order in progress.
	inProgress map[string]progress
	// reports is what engines said of themselves, newer than the list.
	reports map[string]timedReport
	// orderCounts is how many orders engines have accepted, as far as that is certain.
	orderCounts map[string]int64
	// loadTime is the shortest time to loadTime weights that was seen.
	loadTime time.Duration
}

type progress struct {
	step     Step
	accepted bool
}

type timedReport struct {
	feed.Report
	at time.Duration
}

// New returns a plan without orders.
func New() *Plan {
	p := &Plan{loadTime: initialLoadTime}
	p.Reset()
	return p
}

// Reset forgets the orders in progress: another host may have given some since.
func (p *Plan) Reset() {
	p.inProgress = make(map[string]progress)
	p.reports = make(map[string]timedReport)
	p.orderCounts = make(map[string]int64)
}

// Outdated returns the engines whose weights are older than the newest.
func (p *Plan) Outdated(v *mirror.View, now time.Duration) []Step {
	var out []Step
	if !v.EndpointsRead || v.Config == nil {
		return nil
	}
	for _, e := range v.Endpoints {
		if e.Draining {
			continue
		}
		for model, have := range p.currentWeights(e, now) {
			if newest := v.NewestWeights(model); newest > have {
				out = append(out, Step{Endpoint: e, Model: model, CurrentVersion: have, TargetVersion: newest, OrderCount: p.orderCount(e.ID)})
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

// currentWeights returns an engine's currentWeights by the newest word of it.
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

// Next returns the orders to give now: those with the oldest weights first, and
// the least loaded of them. Each is due after notice, when the loads before it
// are expected to have ended.
func (p *Plan) Next(v *mirror.View, load map[string]int, now, notice time.Duration) []Step {
	outdated := p.Outdated(v, now)
	isOutdated := make(map[string]bool, len(outdated))
	for _, s := range outdated {
		isOutdated[s.Endpoint.ID] = true
	}
	for id, pr := range p.inProgress {
		if !isOutdated[id] || now-pr.step.At > orderTimeout || !pr.accepted && now-pr.step.At > retryDelay {
			delete(p.inProgress, id)
		}
	}
	slices.SortFunc(outdated, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.CurrentVersion, b.CurrentVersion), cmp.Compare(load[a.Endpoint.ID], load[b.Endpoint.ID]), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	loading := make(map[string]int)
	for _, pr := range p.inProgress {
		if pr.accepted && now+notice < pr.step.At+p.loadTime {
			loading[pr.step.Endpoint.Service]++
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
		s.At, s.LoadTime = now+notice, p.loadTime
		p.inProgress[s.Endpoint.ID] = progress{step: s, accepted: true}
		out = append(out, s)
	}
	return out
}

// HandleVerdict takes the answer to an order.
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

// HandleReport takes an engine's report.
func (p *Plan) HandleReport(id string, r feed.Report, now time.Duration) {
	if !r.Busy {
		p.reports[id] = timedReport{Report: r, at: now}
	}
	// A report is some hundred milliseconds old and must not undo a later answer.
	if n, ok := p.orderCounts[id]; !ok || r.OrderCount > n {
		p.orderCounts[id] = r.OrderCount
	}
	pr, ok := p.inProgress[id]
	if ok && !r.Busy && r.Weights[pr.step.Model] >= pr.step.TargetVersion {
		delete(p.inProgress, id)
		p.loadTime = max(minLoadTime, min(p.loadTime, now-pr.step.At-reportLag))
	}
}

// InProgress returns the engines with an order in progress.
func (p *Plan) InProgress() map[string]bool {
	out := make(map[string]bool, len(p.inProgress))
	for id := range p.inProgress {
		out[id] = true
	}
	return out
}
