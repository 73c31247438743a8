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
	"cicadastand.dev/core/state/sight"
	"cicadastand.dev/core/state/site"
)

const (
	// engineShare is the part of a service's engines that change at a time.
	engineShare = 0.2
	// lostAfter is when an order without effect is taken as lost. Running requests
	// may hold an order up for some seconds.
	lostAfter = 6 * time.Second
	// unansweredAfter is when an order that got no answer is given again, with the
	// same condition, so that only one of them can take effect.
	unansweredAfter = 700 * time.Millisecond
	// reportTrust is how long a report goes before the list, which comes later.
	reportTrust = 5 * time.Second
)

// Step is one order to give.
type Step struct {
	Endpoint   *site.Endpoint
	Model      string
	Version    int
	OrderCount int64
}

// Plan tracks the orders in progress. It is not safe for concurrent use.
type Plan struct {
	// changing are the engines with an order in progress.
	changing map[string]progress
	// reported is what engines said of themselves, newer than the list.
	reported map[string]reported
}

type progress struct {
	step     Step
	since    time.Duration
	answered bool
}

type reported struct {
	feed.Report
	at time.Duration
}

// New returns a plan without orders.
func New() *Plan {
	p := &Plan{}
	p.Reset()
	return p
}

// Reset forgets the orders in progress: another host may have given some since.
func (p *Plan) Reset() {
	p.changing = make(map[string]progress)
	p.reported = make(map[string]reported)
}

// Behind returns the engines whose weights are older than the newest.
func (p *Plan) Behind(v *sight.View, now time.Duration) []Step {
	var out []Step
	if !v.Listed || v.Config == nil {
		return nil
	}
	for _, e := range v.Endpoints {
		if e.Leaving {
			continue
		}
		count, weights := p.state(e, now)
		for model, have := range weights {
			if newest := v.Weights[model]; newest > have {
				out = append(out, Step{Endpoint: e, Model: model, Version: newest, OrderCount: count})
				break
			}
		}
	}
	return out
}

// state returns an engine's orders and weights by the newest word of it.
func (p *Plan) state(e *site.Endpoint, now time.Duration) (int64, map[string]int) {
	r, ok := p.reported[e.ID]
	if ok && now-r.at < reportTrust && r.OrderCount >= e.OrderCount {
		return r.OrderCount, r.Weights
	}
	return e.OrderCount, e.Weights
}

// Next returns the orders to give now, the least loaded engines first.
func (p *Plan) Next(v *sight.View, load map[string]int, now time.Duration) []Step {
	behind := p.Behind(v, now)
	late := make(map[string]bool, len(behind))
	for _, s := range behind {
		late[s.Endpoint.ID] = true
	}
	for id, pr := range p.changing {
		if !late[id] || now-pr.since > lostAfter || !pr.answered && now-pr.since > unansweredAfter {
			delete(p.changing, id)
		}
	}
	slices.SortFunc(behind, func(a, b Step) int {
		return cmp.Or(cmp.Compare(load[a.Endpoint.ID], load[b.Endpoint.ID]), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	busy := make(map[string]int)
	for _, pr := range p.changing {
		busy[pr.step.Endpoint.Service]++
	}
	var out []Step
	for _, s := range behind {
		service := s.Endpoint.Service
		most := max(1, int(engineShare*float64(len(v.ByService[service]))))
		if _, ok := p.changing[s.Endpoint.ID]; ok || busy[service] >= most {
			continue
		}
		busy[service]++
		p.changing[s.Endpoint.ID] = progress{step: s, since: now, answered: true}
		out = append(out, s)
	}
	return out
}

// Ordered takes the answer to an order.
func (p *Plan) Ordered(s Step, verdict feed.Verdict, err error, now time.Duration) {
	id := s.Endpoint.ID
	switch {
	case err != nil || verdict == feed.Conflict:
		p.changing[id] = progress{step: s, since: now}
	case verdict == feed.AlreadyDone:
		p.Reported(id, feed.Report{OrderCount: s.OrderCount, Weights: map[string]int{s.Model: s.Version}}, now)
	}
}

// Reported takes an engine's report.
func (p *Plan) Reported(id string, r feed.Report, now time.Duration) {
	if !r.Busy {
		p.reported[id] = reported{Report: r, at: now}
	}
	pr, ok := p.changing[id]
	if ok && !r.Busy && r.Weights[pr.step.Model] >= pr.step.Version {
		delete(p.changing, id)
	}
}

// Changing returns the engines with an order in progress.
func (p *Plan) Changing() map[string]bool {
	out := make(map[string]bool, len(p.changing))
	for id := range p.changing {
		out[id] = true
	}
	return out
}
