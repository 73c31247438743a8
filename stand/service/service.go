// Package service is a test double of a service other than a model: a shop that takes
// orders. It counts the executions per idempotency key, so that a test can tell whether
// an order was executed twice.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"cicadastand.dev/core/proto/engine"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/stand/fault"
)

// HeaderKey is the header that carries the idempotency key.
const HeaderKey = "Idempotency-Key"

// HeaderAccount is the header that carries the client account.
const HeaderAccount = engine.HeaderAccount

// Config describes the service.
type Config struct {
	Clock clock.Service
	// Work is the time to execute one order.
	Work time.Duration
	// ChecksKeys makes the service execute each key once and return the first response
	// again to retries.
	ChecksKeys bool
	Seed       uint64
}

// Execution has the executions of one idempotency key.
type Execution struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	// Count is the number of times that the order was executed.
	Count  int    `json:"count"`
	Number int    `json:"number"`
	Body   string `json:"body"`
}

// ExecutionsBody is the response body that lists the executions.
type ExecutionsBody struct {
	Executions []Execution `json:"executions"`
}

// OrderBody is the response body of an order.
type OrderBody struct {
	Order  int    `json:"order"`
	Key    string `json:"key"`
	Status string `json:"status"`
}

const maxBody = 1 << 20

// Service is the test double. It is safe for concurrent use.
type Service struct {
	cfg    Config
	faults *fault.Injector
	mu     sync.Mutex
	byKey  map[string]*Execution
	orders int
}

// New returns a service without orders.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, faults: fault.NewInjector(cfg.Clock, cfg.Seed), byKey: make(map[string]*Execution)}
}

// Handler serves the shop's HTTP interface and, under /control/, the calls that control the
// test double.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.order)
	mux.HandleFunc("GET /orders/{key}", s.status)
	mux.HandleFunc("GET /stock/{item}", s.stock)
	mux.HandleFunc("GET /control/executions", s.executions)
	mux.Handle("/control/faults", s.faults)
	return mux
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.faults.TakeRejection() {
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return
	}
	s.faults.Delay(r)
	ex, executed := s.execute(r.Header.Get(HeaderAccount), r.Header.Get(HeaderKey), string(body))
	if executed && s.cfg.Work > 0 {
		sub := s.cfg.Clock.Once(s.cfg.Work)
		<-sub.C()
		sub.Stop()
	}
	if s.faults.TakeLostResponse() {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusCreated, OrderBody{Order: ex.Number, Key: ex.Key, Status: "placed"})
}

// execute records an execution of a key. It returns false if ChecksKeys is set and the
// key was executed before.
func (s *Service) execute(account, key, body string) (Execution, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := account + "/" + key
	ex, ok := s.byKey[id]
	if !ok {
		ex = &Execution{Account: account, Key: key}
		s.byKey[id] = ex
	}
	if ok && s.cfg.ChecksKeys {
		return *ex, false
	}
	s.orders++
	ex.Count++
	ex.Number = s.orders
	ex.Body = body
	return *ex, true
}

func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	if s.faults.TakeRejection() {
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	ex, ok := s.byKey[r.Header.Get(HeaderAccount)+"/"+r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, OrderBody{Key: r.PathValue("key"), Status: "unknown"})
		return
	}
	reply(w, http.StatusOK, OrderBody{Order: ex.Number, Key: ex.Key, Status: "placed"})
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	if s.faults.TakeRejection() {
		http.Error(w, "the service is down", http.StatusServiceUnavailable)
		return
	}
	s.faults.Delay(r)
	reply(w, http.StatusOK, struct {
		Item  string `json:"item"`
		Stock int    `json:"stock"`
	}{Item: r.PathValue("item"), Stock: len(r.PathValue("item"))})
}

func (s *Service) executions(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := ExecutionsBody{Executions: []Execution{}}
	for _, ex := range s.byKey {
		out.Executions = append(out.Executions, *ex)
	}
	reply(w, http.StatusOK, out)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
