package engine

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"time"

	"cicadastand.dev/core/proto/engine"
)

const (
	maxEvents  = 100_000
	maxReports = 64
)

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

type timedLoad struct {
	at   time.Time
	load engine.Load
}

// load returns the newest report that is at least ReportLag old, or the oldest one if
// all are newer.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	if e.isDown() || e.faults.Get().Down {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportSequence++
	now := e.cfg.Clock.Now()
	e.reports = append(e.reports, timedLoad{at: now, load: e.current()})
	if len(e.reports) > maxReports {
		e.reports = e.reports[1:]
	}
	chosen := e.reports[0].load
	for _, r := range e.reports {
		if now.Sub(r.at) >= e.cfg.ReportLag {
			chosen = r.load
		}
	}
	reply(w, http.StatusOK, chosen)
}

func (e *Engine) current() engine.Load {
	return engine.Load{
		Incarnation:    e.incarnation,
		Weights:        maps.Clone(e.weights),
		Adapters:       maps.Clone(e.adapters),
		Role:           e.role,
		FencingToken:   e.fence,
		Running:        e.slots.inUse(e.cfg.Slots),
		Queued:         e.slots.waiting(),
		QueuedTokens:   e.queuedTokens,
		Leaving:        e.leaving,
		Loading:        e.loading,
		LastEvent:      e.sequence,
		ReportSequence: e.reportSequence,
	}
}

func (s *semaphore) inUse(total int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return total - s.free
}

// cacheEvents returns the events after a sequence number that are older than ReportLag.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	if e.isDown() || e.faults.Get().Down {
		panic(http.ErrAbortHandler)
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from must be a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := e.cfg.Clock.Now().Add(-e.cfg.ReportLag)
	body := engine.EventsBody{Incarnation: e.incarnation, Events: []engine.CacheEvent{}}
	for _, s := range e.events {
		if s.event.Sequence > from && s.at.Before(oldest) {
			body.Events = append(body.Events, s.event)
		}
	}
	reply(w, http.StatusOK, body)
}

// order loads a weights version or an adapter, or changes the role.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Model == "" {
		http.Error(w, "an order names a model", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.cfg.ChecksFencing && o.FencingToken < e.fence {
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.FencingToken)
	e.loading = true
	run := e.run
	e.mu.Unlock()

	sub := e.cfg.Clock.Once(e.cfg.LoadTime)
	defer sub.Stop()
	select {
	case <-sub.C():
	case <-run.Done():
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	if e.cfg.ChecksFencing && o.FencingToken < e.fence {
		http.Error(w, "overtaken by a newer order", http.StatusConflict)
		return
	}
	if o.WeightsVersion != "" {
		e.weights[o.Model] = o.WeightsVersion
	}
	e.adapters[o.Model] = o.Adapter
	if o.Role != "" {
		e.role = o.Role
	}
	reply(w, http.StatusOK, e.current())
}

func (e *Engine) stats(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, e.Stats()) }

func (e *Engine) crash(w http.ResponseWriter, _ *http.Request) {
	e.Crash()
	reply(w, http.StatusOK, struct{}{})
}

func (e *Engine) drain(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	reply(w, http.StatusOK, struct{}{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
