// Package spread decides how large records spread from the host that has read them to all
// others: from whom a host fetches the segments that it lacks, and whom it serves.
//
// The load it answers: all hosts of a failure domain learn within one status interval that
// their hub has a new version, and its link would have to carry it once for each of them. With
// a hundred hosts and a slow link that takes far longer than a version may. So a host serves
// only as many others at a time as its link bears, and those that have a part of the segments
// serve the rest. No host waits for a particular other one.
package spread

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/state/pack"
)

const (
	// maxRequested is the number of segments in one request: their usual compressed size is that
	// of a batch, and a source with a part of them has some.
	maxRequested = 16
	// claimTime is how long segments that were requested from one source are not requested from
	// another one: several times what a batch takes on a slow link.
	claimTime = 300 * time.Millisecond
	// busyPause and emptyPause are the mean times after which a source is asked again that serves
	// too many others, or has none of the segments: about one batch, and one status interval in
	// which it can get more.
	busyPause  = 40 * time.Millisecond
	emptyPause = 60 * time.Millisecond
	// failPause is the time after which a source is asked again that did not respond. It doubles
	// up to maxFailPause.
	failPause    = 300 * time.Millisecond
	maxFailPause = 2 * time.Second
	// stallTime is the time without a new segment after which a transfer counts as stalled. It
	// leaves time to read the platform's store instead.
	stallTime = 700 * time.Millisecond
)

// Outcome is how a request for segments ended.
type Outcome int

// The outcomes.
const (
	// Served means that the source has sent what it has of the segments, possibly nothing.
	Served Outcome = iota
	// Busy means that the source serves too many others.
	Busy
	// Failed means that the source did not respond, or not with segments.
	Failed
)

// Request is a request for segments to one source.
type Request struct {
	Source   string
	Segments []pack.Segment
}

// Plan plans the transfer of segments to one host. It is safe for concurrent use.
//
// Lock order: Plan.mu is a leaf.
type Plan struct {
	random func() float64

	mu      sync.Mutex
	lacking []pack.Segment
	claimed map[pack.ID]time.Duration
	sources map[string]*source
	// progress is when the last segment arrived.
	progress time.Duration
}

type source struct {
	asked    bool
	after    time.Duration
	failures int
}

// NewPlan returns a plan for the segments that a host lacks. Hosts begin at random segments, so
// that they soon have different ones to give. random returns numbers in [0, 1).
func NewPlan(lacking []pack.Segment, random func() float64, now time.Duration) *Plan {
	first := int(random() * float64(len(lacking)))
	return &Plan{
		random:   random,
		lacking:  append(append([]pack.Segment{}, lacking[first:]...), lacking[:first]...),
		claimed:  make(map[pack.ID]time.Duration),
		sources:  make(map[string]*source),
		progress: now,
	}
}

// Offer adds a source.
func (p *Plan) Offer(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sources[name] == nil {
		p.sources[name] = &source{}
	}
}

// IsDone reports whether all segments have arrived.
func (p *Plan) IsDone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lacking) == 0
}

// IsStalled reports whether no segment has arrived for some time.
func (p *Plan) IsStalled(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now-p.progress > stallTime
}

// Next returns the next request, and false if there is none at this time. The caller reports
// its outcome.
func (p *Plan) Next(now time.Duration) (Request, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := lo.Filter(p.lacking, func(s pack.Segment, _ int) bool {
		at, ok := p.claimed[s.ID]
		return !ok || now-at > claimTime
	})
	ready := lo.Keys(lo.PickBy(p.sources, func(_ string, s *source) bool { return !s.asked && now >= s.after }))
	if len(wanted) == 0 || len(ready) == 0 {
		return Request{}, false
	}
	wanted = wanted[:min(len(wanted), maxRequested)]
	for _, s := range wanted {
		p.claimed[s.ID] = now
	}
	name := ready[int(p.random()*float64(len(ready)))]
	p.sources[name].asked = true
	return Request{Source: name, Segments: wanted}, true
}

// Report records how a request ended and which segments have arrived by it.
func (p *Plan) Report(r Request, outcome Outcome, arrived []pack.ID, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range r.Segments {
		delete(p.claimed, s.ID)
	}
	p.lacking = lo.Filter(p.lacking, func(s pack.Segment, _ int) bool { return !lo.Contains(arrived, s.ID) })
	s := p.sources[r.Source]
	s.asked = false
	// Pauses vary by half, since the hosts of a domain begin at the same time.
	pause := time.Duration((0.5 + p.random()) * float64(p.pauseAfter(s, outcome, len(arrived))))
	s.after = now + pause
	if len(arrived) > 0 {
		p.progress = now
	}
}

// pauseAfter returns the mean time after which a source is asked again.
func (p *Plan) pauseAfter(s *source, outcome Outcome, arrived int) time.Duration {
	if outcome != Failed {
		s.failures = 0
	}
	switch {
	case outcome == Failed:
		s.failures++
		return min(failPause<<(min(s.failures, 8)-1), maxFailPause)
	case outcome == Busy:
		return busyPause
	case arrived == 0:
		return emptyPause
	default:
		return 0
	}
}
