// Package health tracks what this host knows of each endpoint: its reports, the
// work that this host has there, failures, and whether it is leaving.
package health

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// State is what an endpoint may be used for.
type State string

// The states of an endpoint, best first.
const (
	// Live endpoints take work.
	Live State = "live"
	// Suspect endpoints take work only when no live one can.
	Suspect State = "suspect"
	// Ejected endpoints take work only when nothing else is left.
	Ejected State = "ejected"
	// Leaving endpoints take no new work.
	Leaving State = "leaving"
)

// Config bounds how fast endpoints are given up.
type Config struct {
	// SuspectAfter is the number of failures in a row that make an endpoint suspect.
	SuspectAfter int
	// EjectAfter is how long an endpoint is suspect before it is ejected.
	EjectAfter time.Duration
	// MaxEjectedShare bounds the endpoints ejected within EjectWindow: many that
	// vanish at the same moment are more likely cut off than dead.
	MaxEjectedShare float64
	EjectWindow     time.Duration
	// ReportLag is how old an endpoint's report is when it arrives.
	ReportLag time.Duration
}

// DefaultConfig returns the usual bounds.
func DefaultConfig() Config {
	return Config{SuspectAfter: 2, EjectAfter: 3 * time.Second, MaxEjectedShare: 0.25, EjectWindow: 10 * time.Second, ReportLag: 200 * time.Millisecond}
}

// Report is an endpoint's report on itself.
type Report struct {
	Incarnation  string
	Weights      map[string]string
	Adapters     map[string]string
	Role         string
	Running      int
	Queued       int
	QueuedTokens int
	Leaving      bool
	Loading      bool
	LastEvent    uint64
}

// Status is what is known of an endpoint.
type Status struct {
	State      State     `json:"state"`
	Report     Report    `json:"report"`
	LastReport time.Time `json:"seen"`
	// OwnRequests counts the requests that this host has at the endpoint.
	OwnRequests int `json:"own"`
	// OwnTokens counts the prompt tokens that the engine is expected to compute for
	// those of them that have no first token yet.
	OwnTokens int `json:"own-tokens"`
	// MissShare is the share of prompt tokens that the engine had to compute lately.
	MissShare float64 `json:"miss-share"`
	// OtherRequests and OtherTokens are what the last report says beyond this host's own.
	OtherRequests int `json:"others"`
	OtherTokens   int `json:"others-tokens"`
	// OwnReported is the number of this host's requests that the last report includes.
	OwnReported int           `json:"own-reported"`
	Failures    int           `json:"failures"`
	ServiceTime time.Duration `json:"service-time"`
}

// Requests returns the requests at the endpoint, as far as known.
func (s Status) Requests() int { return s.OwnRequests + s.OtherRequests }

// QueuedTokens returns the prompt tokens that wait at the endpoint, as far as known.
func (s Status) QueuedTokens() int { return s.OwnTokens + s.OtherTokens }

type record struct {
	Status
	// replaced lists the latest incarnations that were replaced. Reports lag, so one
	// of them may still be reported.
	replaced        []string
	suspectSince    time.Time
	markedLeaving   bool
	ownPromptTokens int
	// ownHistory holds this host's own work at the times of the latest reports.
	ownHistory []ownWork
}

// Table holds the status of each endpoint. It is safe for concurrent use.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg       Config
	mu        sync.Mutex
	records   map[string]*record
	ejections []time.Time
}

// New returns an empty table.
func New(cfg Config) *Table { return &Table{cfg: cfg, records: make(map[string]*record)} }

const (
	initialServiceTime = 200 * time.Millisecond
	initialMissShare   = 0.5
	// averageWeight is the weight of the newest value in a moving average.
	averageWeight = 0.1
)

func (t *Table) get(name string) *record {
	r, ok := t.records[name]
	if !ok {
		r = &record{Status: Status{State: Live, ServiceTime: initialServiceTime, MissShare: initialMissShare}}
		t.records[name] = r
	}
	return r
}

// ownWork is this host's work at an endpoint at a time.
type ownWork struct {
	at           time.Time
	requests     int
	promptTokens int
}

// maxOwnHistory bounds the times for which a host's own work is remembered.
const maxOwnHistory = 32

// recordOwnWork notes this host's own work now, and returns that of the time which a
// report that arrives now is about.
func (r *record) recordOwnWork(now time.Time, lag time.Duration) ownWork {
	r.ownHistory = append(r.ownHistory, ownWork{at: now, requests: r.OwnRequests, promptTokens: r.ownPromptTokens})
	r.ownHistory = r.ownHistory[max(0, len(r.ownHistory)-maxOwnHistory):]
	for len(r.ownHistory) > 1 && now.Sub(r.ownHistory[1].at) >= lag {
		r.ownHistory = r.ownHistory[1:]
	}
	return r.ownHistory[0]
}

// maxReplaced bounds the replaced incarnations that are remembered for an endpoint.
const maxReplaced = 8

// RecordReport takes an endpoint's report. It returns false, and takes nothing but
// the sign of life, if the report is about an incarnation that was replaced.
func (t *Table) RecordReport(name string, rep Report, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	if slices.Contains(r.replaced, rep.Incarnation) {
		return false
	}
	r.replace(rep.Incarnation)
	r.Report = rep
	r.LastReport = now
	then := r.recordOwnWork(now, t.cfg.ReportLag)
	r.OwnReported = min(then.requests, rep.Running+rep.Queued)
	r.OtherRequests = rep.Running + rep.Queued - r.OwnReported
	r.OtherTokens = int(float64(max(0, rep.QueuedTokens-then.promptTokens)) * r.MissShare)
	r.recordSuccess()
	return true
}

// RecordIncarnation takes the incarnation that an endpoint itself names in an answer,
// which is newer than any report. It reports whether the incarnation is new.
func (t *Table) RecordIncarnation(name, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	if incarnation == "" || incarnation == r.Report.Incarnation || slices.Contains(r.replaced, incarnation) {
		return false
	}
	r.replace(incarnation)
	return true
}

// replace makes an incarnation the current one and voids the one before.
func (r *record) replace(incarnation string) {
	if r.Report.Incarnation == incarnation {
		return
	}
	if r.Report.Incarnation != "" {
		r.replaced = append(r.replaced, r.Report.Incarnation)
		r.replaced = r.replaced[max(0, len(r.replaced)-maxReplaced):]
	}
	r.Report.Incarnation = incarnation
}

// RecordSuccess notes that the endpoint answered.
func (t *Table) RecordSuccess(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(name).recordSuccess()
}

func (r *record) recordSuccess() {
	r.Failures = 0
	r.suspectSince = time.Time{}
	r.State = Live
	if r.Report.Leaving || r.markedLeaving {
		r.State = Leaving
	}
}

// RecordFailure notes that the endpoint could not be reached or did not answer.
func (t *Table) RecordFailure(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.Failures++
	if r.State == Live && r.Failures >= t.cfg.SuspectAfter {
		r.State = Suspect
		r.suspectSince = now
	}
}

// RecordCrash notes that the endpoint broke off a request; it is suspect at once.
func (t *Table) RecordCrash(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.Failures++
	if r.State == Live {
		r.State = Suspect
		r.suspectSince = now
	}
}

// MarkLeaving sets or clears the mark that an endpoint is leaving, from a source
// other than its own report.
func (t *Table) MarkLeaving(name string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.markedLeaving = leaving
	if leaving {
		r.State = Leaving
	} else if r.State == Leaving && !r.Report.Leaving {
		r.State = Live
	}
}

// EjectSuspects ejects endpoints that have been suspect for too long, no more at once
// than the bound allows. It returns those that it ejected.
func (t *Table) EjectSuspects(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.ejections) > 0 && now.Sub(t.ejections[0]) > t.cfg.EjectWindow {
		t.ejections = t.ejections[1:]
	}
	allowed := max(1, int(float64(len(t.records))*t.cfg.MaxEjectedShare)) - len(t.ejections)
	var out []string
	for name, r := range t.records {
		if allowed <= 0 {
			break
		}
		if r.State == Suspect && now.Sub(r.suspectSince) >= t.cfg.EjectAfter {
			r.State = Ejected
			t.ejections = append(t.ejections, now)
			out = append(out, name)
			allowed--
		}
	}
	return out
}

// Retain forgets endpoints that are not in names.
func (t *Table) Retain(names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.records {
		if !names[name] {
			delete(t.records, name)
		}
	}
}

// Get returns the status of an endpoint.
func (t *Table) Get(name string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(name).Status
}

// All returns the status of every endpoint.
func (t *Table) All() map[string]Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Status, len(t.records))
	for name, r := range t.records {
		s := r.Status
		s.Report.Weights = maps.Clone(s.Report.Weights)
		out[name] = s
	}
	return out
}

// Prompt is the work of a request's prompt, in tokens.
type Prompt struct {
	Tokens int
	// UncachedTokens is how many the engine is expected to compute.
	UncachedTokens int
}

// RequestSent notes that this host sent a request.
func (t *Table) RequestSent(name string, p Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.OwnRequests++
	r.OwnTokens += p.UncachedTokens
	r.ownPromptTokens += p.Tokens
}

// RequestDequeued notes that a request that was sent no longer waits for its prompt.
func (t *Table) RequestDequeued(name string, p Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.OwnTokens -= p.UncachedTokens
	r.ownPromptTokens -= p.Tokens
}

// RecordCacheMiss notes how many of a prompt's tokens an engine had to compute.
func (t *Table) RecordCacheMiss(name string, p Prompt) {
	if p.Tokens <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.MissShare += averageWeight * (float64(p.UncachedTokens)/float64(p.Tokens) - r.MissShare)
}

// RequestFinished notes that a request left the endpoint after a time.
func (t *Table) RequestFinished(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.OwnRequests--
	r.ServiceTime += time.Duration(averageWeight * float64(took-r.ServiceTime))
}
