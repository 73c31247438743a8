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
	// engineShare is the part of a service's engines that load weights at a time:
	// more of them slow each other down.
	engineShare = 0.2
	// initialLoad is the time to load weights that is assumed before one was seen.
	initialLoad = 400 * time.Millisecond
	// minLoad and reportLag correct what is seen of a load: a report is that old.
	minLoad   = 150 * time.Millisecond
	reportLag = 200 * time.Millisecond
	// lostAfter is when an order without effect is taken as lost. Running requests
	// may hold an order up for some seconds.
	lostAfter = 6 * time.Second
	// unansweredAfter is when an order that got no answer is given again, with the
	// same condition, so that only one of them can take effect.
	unansweredAfter = 1200 * time.Millisecond
	// reportTrust is how long a report goes before the list, which comes later.
	reportTrust = 5 * time.Second
)

// Step is one order to give.
type Step struct {
	Endpoint *site.Endpoint
	Model    string
	// Have is the version that the engine has, Version the one that it should have.
	Have    int
	Version int
	// OrderCount is the number of orders that the engine has accepted; Unknown if
	// it has to be asked first.
	OrderCount int64
	// At is when to give the order, and Load how long the engine is expected to
	// take.
	At   time.Duration
	Load time.Duration
}

// Unknown is the order count of an engine that was not asked yet.
const Unknown int64 = -1

// Plan tracks the orders in progress. It is not safe for concurrent use.
type Plan struct {
	// changing are the engines with an order in progress.
	changing map[string]progress
	// reported is what engines said of themselves, newer than the list.
	reported map[string]reported
	// counts is how many orders engines have accepted, as far as that is certain.
	counts map[string]int64
	// load is the shortest time to load weights that was seen.
	load time.Duration
}

type progress struct {
	step     Step
	answered bool
}

type reported struct {
	feed.Report
	at time.Duration
}

// New returns a plan without orders.
func New() *Plan {
	p := &Plan{load: initialLoad}
	p.Reset()
	return p
}

// Reset forgets the orders in progress: another host may have given some since.
func (p *Plan) Reset() {
	p.changing = make(map[string]progress)
	p.reported = make(map[string]reported)
	p.counts = make(map[string]int64)
}

// Behind returns the engines whose weights are older than the newest.
func (p *Plan) Behind(v *mirror.View, now time.Duration) []Step {
	var out []Step
	if !v.EndpointsRead || v.Config == nil {
		return nil
	}
	for _, e := range v.Endpoints {
		if e.Draining {
			continue
		}
		for model, have := range p.weights(e, now) {
			if newest := v.NewestWeights(model); newest > have {
				out = append(out, Step{Endpoint: e, Model: model, Have: have, Version: newest, OrderCount: p.count(e.ID)})
				break
			}
		}
	}
	return out
}

func (p *Plan) count(id string) int64 {
	if n, ok := p.counts[id]; ok {
		return n
	}
	return Unknown
}

// weights returns an engine's weights by the newest word of it.
func (p *Plan) weights(e *site.Endpoint, now time.Duration) map[string]int {
	r, ok := p.reported[e.ID]
	if !ok || now-r.at >= reportTrust {
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
	behind := p.Behind(v, now)
	late := make(map[string]bool, len(behind))
	for _, s := range behind {
		late[s.Endpoint.ID] = true
	}
	for id, pr := range p.changing {
		if !late[id] || now-pr.step.At > lostAfter || !pr.answered && now-pr.step.At > unansweredAfter {
			delete(p.changing, id)
		}
	}
	slices.SortFunc(behind, func(a, b Step) int {
		return cmp.Or(cmp.Compare(a.Have, b.Have), cmp.Compare(load[a.Endpoint.ID], load[b.Endpoint.ID]), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	busy := make(map[string]int)
	for _, pr := range p.changing {
		if pr.answered && now+notice < pr.step.At+p.load {
			busy[pr.step.Endpoint.Service]++
		}
	}
	var out []Step
	for _, s := range behind {
		service := s.Endpoint.Service
		most := max(1, int(engineShare*float64(len(v.ByService[service]))))
		if _, ok := p.changing[s.Endpoint.ID]; ok || busy[service] >= most {
			continue
		}
		busy[service]++
		s.At, s.Load = now+notice, p.load
		p.changing[s.Endpoint.ID] = progress{step: s, answered: true}
		out = append(out, s)
	}
	return out
}

// Ordered takes the answer to an order.
func (p *Plan) Ordered(s Step, verdict feed.Verdict, err error, now time.Duration) {
	id := s.Endpoint.ID
	switch {
	case err != nil || verdict == feed.Conflict:
		s.At = now
		p.changing[id] = progress{step: s}
		delete(p.counts, id)
	case verdict == feed.AlreadyDone:
		p.Reported(id, feed.Report{OrderCount: s.OrderCount, Weights: map[string]int{s.Model: s.Version}}, now)
	default:
		p.counts[id] = s.OrderCount + 1
	}
}

// Reported takes an engine's report.
func (p *Plan) Reported(id string, r feed.Report, now time.Duration) {
	if !r.Busy {
		p.reported[id] = reported{Report: r, at: now}
	}
	// A report is some hundred milliseconds old and must not undo a later answer.
	if n, ok := p.counts[id]; !ok || r.OrderCount > n {
		p.counts[id] = r.OrderCount
	}
	pr, ok := p.changing[id]
	if ok && !r.Busy && r.Weights[pr.step.Model] >= pr.step.Version {
		delete(p.changing, id)
		p.load = max(minLoad, min(p.load, now-pr.step.At-reportLag))
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
