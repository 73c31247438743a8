// Package drive sends the requests of a workload as an open-loop load, so at their
// arrival times without waiting for earlier responses, and checks every response.
package drive

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/loads/plan"
)

// Outcome is the result of one request.
type Outcome string

// The outcomes of a request.
const (
	// Correct means that the response is complete, in order and the one expected for
	// this request.
	Correct Outcome = "right"
	// Rejected means that the router reported that the request was not run.
	Rejected Outcome = "refused"
	// Unknown means that the router reported that the outcome is unknown.
	Unknown Outcome = "unknown"
	// Failed means any other error, or no response.
	Failed Outcome = "failed"
	// Wrong means that a response is incomplete, out of order or belongs to another
	// request.
	Wrong Outcome = "wrong"
)

// Sample is the measurement of one request.
type Sample struct {
	Stream string
	// At is the arrival time, counted from the start of the run.
	At      time.Duration
	Outcome Outcome
	// Code is the error code of the router's response, if it has one.
	Code string
	// Detail describes an error. Its text is written to summary.json.
	Detail string
	// FirstToken is the time to first token of a completion, and Total the time to the
	// end of the response.
	FirstToken time.Duration
	Total      time.Duration
	// PromptTokens and CachedTokens are the values reported in the response.
	PromptTokens int
	CachedTokens int
	// Key is the idempotency key of an order.
	Key string
}

// Driver sends the requests of a workload and collects samples.
type Driver struct {
	clock    clock.Service
	workload *plan.Workload
	http     *http.Client
	mu       sync.Mutex
	samples  []Sample
	skipped  int
}

const (
	idleConns   = 512
	callTimeout = 60 * time.Second
)

// New returns a driver that sends the requests of w.
func New(service clock.Service, w *plan.Workload) *Driver {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns}
	return &Driver{clock: service, workload: w, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Result is the outcome of a run.
type Result struct {
	Samples []Sample
	// Skipped counts requests that were not sent because MaxInFlight requests were
	// in flight.
	Skipped int
	// Elapsed is the time from the start of the run to the last response.
	Elapsed time.Duration
	// Orders compares the executions of the order services with the responses.
	Orders OrderCheck
}

// Run sends all requests at their arrival times and waits for the responses.
func (d *Driver) Run(ctx context.Context, requests []plan.Request) (Result, error) {
	slots := make(chan struct{}, d.workload.MaxInFlight)
	var done sync.WaitGroup
	start := d.clock.Now()
	for i := range requests {
		wait := requests[i].At - d.clock.Now().Sub(start)
		if wait > 0 {
			if err := clock.Sleep(ctx, d.clock, wait); err != nil {
				return Result{}, fmt.Errorf("send workload: %w", err)
			}
		}
		select {
		case slots <- struct{}{}:
		default:
			d.skipped++
			continue
		}
		done.Add(1)
		j := &job{d: d, r: &requests[i], slots: slots, done: &done}
		go j.run(ctx)
	}
	done.Wait()
	result := Result{Samples: d.samples, Skipped: d.skipped, Elapsed: d.clock.Now().Sub(start)}
	orders, err := d.checkOrders(ctx)
	result.Orders = orders
	return result, err
}

// job sends one request in a goroutine of its own.
type job struct {
	d     *Driver
	r     *plan.Request
	slots <-chan struct{}
	done  *sync.WaitGroup
}

func (j *job) run(ctx context.Context) {
	defer j.done.Done()
	defer func() { <-j.slots }()
	var s Sample
	if j.r.Stream.Kind == plan.Order {
		s = j.d.placeOrder(ctx, j.r)
	} else {
		s = j.d.complete(ctx, j.r)
	}
	s.Stream = j.r.Stream.Name
	s.At = j.r.At
	j.d.mu.Lock()
	defer j.d.mu.Unlock()
	j.d.samples = append(j.d.samples, s)
}

func (d *Driver) routerAddress(i int) netip.AddrPort {
	return d.workload.Routers[i%len(d.workload.Routers)]
}
