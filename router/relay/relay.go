// Package relay forwards requests to the endpoints of their route's service.
package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/budget"
	"cicadastand.dev/core/coord/eject"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/pause"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/kvmap"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/router/conns"
)

// Codec translates headers between a platform and the product.
type Codec interface {
	// Request decodes a client's header.
	Request(h http.Header) call.Request
	// Forward makes the header of a send from the client's.
	Forward(client http.Header, s call.Send) http.Header
	// Answer decodes an endpoint's header.
	Answer(h http.Header) call.Response
	// Return copies an endpoint's header to the answer for the client.
	Return(to, endpoint http.Header)
}

// Clock gives wall-clock time and time since boot.
type Clock interface {
	clock.Service
	clock.Boot
}

// Placer decides where a request goes, with the latest word on all requests of
// a failure domain. It reports false if this host has to decide itself.
type Placer interface {
	Place(ctx context.Context, q place.Query) (place.Decision, bool)
}

// Config says what a Relay works with.
type Config struct {
	Clock      Clock
	Codec      Codec
	Mirror     *mirror.Mirror
	Conns      *conns.Pool
	Loads      *load.Table
	CacheIndex *kvmap.Index
	Ejection   *eject.Table
	Pauses     *pause.Table
	// PlacementUpdates is told of placements that other hosts would not expect.
	PlacementUpdates *kvmap.Outbox
	Budget           *budget.Tracker
	Poison           *poison.Table
	// SampleSize is how many engines are looked at for a placement.
	SampleSize func() int
	// Placer places requests for a whole failure domain.
	Placer Placer
	// IsPartitioned reports whether this host hears no other one: then it is cut off, and
	// others may serve what it can't.
	IsPartitioned func() bool
	// FailureDomain is the host's own.
	FailureDomain string
	// OldWeightsGrace is how long requests may begin on weights that were replaced.
	OldWeightsGrace time.Duration
	// MaxConfigAge is how old the proof may be that a key still holds.
	MaxConfigAge time.Duration
	// MaxBuffered bounds the bytes of request bodies held at once.
	MaxBuffered int64
	Logger      hclog.Logger
	Metrics     *metrics.Set
}

// Relay is an HTTP handler.
type Relay struct {
	cfg        Config
	prefill    *prefillRates
	weights    *reportedWeights
	roundRobin atomic.Uint64
	buffered   atomic.Int64
	inFlight   atomic.Int64
	stopping   atomic.Bool

	latency   *metrics.Histogram
	firstByte *metrics.Histogram
}

// New returns a relay.
func New(cfg Config) *Relay {
	r := &Relay{
		cfg:       cfg,
		prefill:   newPrefillRates(),
		weights:   newReportedWeights(),
		latency:   cfg.Metrics.NewHistogram("cicada_relay_seconds"),
		firstByte: cfg.Metrics.NewHistogram("cicada_relay_first_byte_seconds"),
	}
	return r
}

// Stop makes clients leave: each answer closes its connection from now on.
func (r *Relay) Stop() { r.stopping.Store(true) }

// InFlight returns the number of requests in progress.
func (r *Relay) InFlight() int64 { return r.inFlight.Load() }

// Ready reports whether requests can be served, and why not.
func (r *Relay) Ready() (bool, string) {
	age, ok := r.cfg.Mirror.ConfigAge(r.cfg.Clock.Boot())
	switch {
	case r.stopping.Load():
		return false, "stopping"
	case !ok:
		return false, "no configuration"
	case age > r.cfg.MaxConfigAge:
		return false, "configuration is too old to use keys: " + age.Round(time.Millisecond).String()
	case !r.cfg.Mirror.View().EndpointsRead:
		return false, "no list of endpoints"
	default:
		return true, ""
	}
}

// ServeHTTP answers one request of a client.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	j := r.newJob(w, req)
	defer j.finish()
	if fault := j.admit(); fault != nil {
		j.reject(fault)
		return
	}
	defer r.buffered.Add(-int64(len(j.body)))
	j.run()
}
