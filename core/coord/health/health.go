// Package health tracks the state of each endpoint as this host sees it: the
// endpoint's reports, this host's own requests there, failures, and whether the
// endpoint is shutting down.
package health

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// State says whether requests may be sent to an endpoint.
type State string

// The states of an endpoint, best first.
const (
	// Live endpoints receive requests.
	Live State = "live"
	// Suspect endpoints receive requests only if no live endpoint can serve them.
	Suspect State = "suspect"
	// Ejected endpoints receive requests only if no other endpoint is left.
	Ejected State = "ejected"
	// Leaving endpoints are shutting down and receive no new requests.
	Leaving State = "leaving"
)

// Config sets when endpoints become suspect and are ejected.
type Config struct {
	// SuspectAfter is the number of consecutive failures that make an endpoint suspect.
	SuspectAfter int
	// EjectAfter is how long an endpoint is suspect before it is ejected.
	EjectAfter time.Duration
	// MaxEjectedShare limits the share of endpoints ejected within EjectWindow: if
	// many fail at the same time, a network partition is more likely than that all
	// have crashed.
	MaxEjectedShare float64
	EjectWindow     time.Duration
	// ReportLag is the age of an endpoint's report when it arrives.
	ReportLag time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{SuspectAfter: 2, EjectAfter: 3 * time.Second, MaxEjectedShare: 0.25, EjectWindow: 10 * time.Second, ReportLag: 200 * time.Millisecond}
}

// Report is the state that an endpoint reports about itself.
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

// Status is the last known state of an endpoint.
type Status struct {
	State      State     `json:"state"`
	Report     Report    `json:"report"`
	LastReport time.Time `json:"seen"`
	// OwnRequests counts the requests from this host that are at the endpoint.
	OwnRequests int `json:"own"`
	// OwnTokens counts the prompt tokens that the engine is expected to compute for
	// those of this host's requests that have no first token yet.
	OwnTokens int `json:"own-tokens"`
	// MissShare is a moving average of the share of prompt tokens that missed the
	// engine's cache.
	MissShare float64 `json:"miss-share"`
	// OtherRequests and OtherTokens estimate how much of the work in the last report
	// was sent by other hosts.
	OtherRequests int `json:"others"`
	OtherTokens   int `json:"others-tokens"`
	// OwnReported is how many of this host's requests the last report includes.
	OwnReported int           `json:"own-reported"`
	Failures    int           `json:"failures"`
	ServiceTime time.Duration `json:"service-time"`
}

// Requests returns the known number of requests at the endpoint.
func (s Status) Requests() int { return s.OwnRequests + s.OtherRequests }

// QueuedTokens returns the known number of prompt tokens queued at the endpoint.
func (s Status) QueuedTokens() int { return s.OwnTokens + s.OtherTokens }

type record struct {
	Status
	// replaced lists the latest incarnations of the endpoint that were replaced.
	// Reports lag, so a report of one of them may still arrive.
	replaced        []string
	suspectSince    time.Time
	lastCrash       time.Time
	markedLeaving   bool
	ownPromptTokens int
	// ownHistory holds this host's work at the arrival of each of the latest reports.
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
	// averageWeight is the weight of the newest value in the moving averages.
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

// ownWork is a snapshot of this host's work at an endpoint.
type ownWork struct {
	at           time.Time
	requests     int
	promptTokens int
}

// maxOwnHistory limits the snapshots of this host's work per endpoint.
const maxOwnHistory = 32

// recordOwnWork takes a snapshot of this host's work. It returns the latest snapshot
// that is at least lag old, or the oldest one if there is none: the work that a
// report arriving now includes.
func (r *record) recordOwnWork(now time.Time, lag time.Duration) ownWork {
	r.ownHistory = append(r.ownHistory, ownWork{at: now, requests: r.OwnRequests, promptTokens: r.ownPromptTokens})
	r.ownHistory = r.ownHistory[max(0, len(r.ownHistory)-maxOwnHistory):]
	for len(r.ownHistory) > 1 && now.Sub(r.ownHistory[1].at) >= lag {
		r.ownHistory = r.ownHistory[1:]
	}
	return r.ownHistory[0]
}

// maxReplaced limits the replaced incarnations that are retained per endpoint.
const maxReplaced = 8

// RecordReport stores an endpoint's report that was requested at a time. If the report
// comes from an incarnation that was replaced, or was requested before the last crash, it
// is ignored and RecordReport returns false.
func (t *Table) RecordReport(name string, rep Report, requested, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	if slices.Contains(r.replaced, rep.Incarnation) || requested.Before(r.lastCrash) {
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

// RecordIncarnation stores the incarnation that an endpoint named in a response,
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

// replace sets the current incarnation and adds the previous one to replaced.
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

// RecordSuccess records that the endpoint responded to a request that was sent at a time.
// It is ignored if the endpoint crashed afterwards.
func (t *Table) RecordSuccess(name string, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	if !sent.Before(r.lastCrash) {
		r.recordSuccess()
	}
}

func (r *record) recordSuccess() {
	r.Failures = 0
	r.suspectSince = time.Time{}
	r.State = Live
	if r.Report.Leaving || r.markedLeaving {
		r.State = Leaving
	}
}

// RecordFailure records that the endpoint was unreachable or did not respond.
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

// RecordCrash records that the endpoint aborted a request. A live endpoint becomes
// suspect immediately.
func (t *Table) RecordCrash(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.Failures++
	r.lastCrash = now
	if r.State == Live {
		r.State = Suspect
		r.suspectSince = now
	}
}

// MarkLeaving records whether an endpoint is leaving according to a source other
// than its own report.
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

// EjectSuspects ejects endpoints that have been suspect for at least EjectAfter, up
// to the limit of MaxEjectedShare. It returns the names of those it ejected.
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

// Retain removes all endpoints that are not in names.
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

// Prompt describes the prompt of a request.
type Prompt struct {
	Tokens int
	// UncachedTokens is how many of the tokens the engine has to compute.
	UncachedTokens int
}

// RequestSent records that this host sent a request to the endpoint.
func (t *Table) RequestSent(name string, p Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.OwnRequests++
	r.OwnTokens += p.UncachedTokens
	r.ownPromptTokens += p.Tokens
}

// RequestDequeued records that the prompt of a sent request is no longer queued.
func (t *Table) RequestDequeued(name string, p Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.OwnTokens -= p.UncachedTokens
	r.ownPromptTokens -= p.Tokens
}

// RecordCacheMiss records how many of a prompt's tokens the engine had to compute.
func (t *Table) RecordCacheMiss(name string, p Prompt) {
	if p.Tokens <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.MissShare += averageWeight * (float64(p.UncachedTokens)/float64(p.Tokens) - r.MissShare)
}

// RequestFinished records that a request ended and how long it took.
func (t *Table) RequestFinished(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(name)
	r.OwnRequests--
	r.ServiceTime += time.Duration(averageWeight * float64(took-r.ServiceTime))
}
