// Package relay is the reverse proxy: it authenticates clients' requests and forwards
// them to the endpoints of the service that their route names.
package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/avoid"
	"cicadastand.dev/core/coord/budget"
	"cicadastand.dev/core/coord/eject"
	"cicadastand.dev/core/coord/line"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/origin"
	"cicadastand.dev/core/coord/pace"
	"cicadastand.dev/core/coord/pause"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/quota"
	"cicadastand.dev/core/coord/reach"
	"cicadastand.dev/core/coord/room"
	"cicadastand.dev/core/coord/speed"
	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/kvmap"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/core/trans/httpd"
	"cicadastand.dev/router/conns"
)

// Codec translates between the headers of a platform and the router's own types.
type Codec interface {
	// Request decodes the header of a client's request.
	Request(h http.Header) call.Request
	// Forward returns the header of the request to an endpoint.
	Forward(client http.Header, a call.Attempt) http.Header
	// ResponseID returns the ID of the request that a response belongs to.
	ResponseID(h http.Header) string
	// DecodeResponse decodes the status and header of an endpoint's response.
	DecodeResponse(status int, h http.Header) call.Response
	// SetResumed sets in the header of a client's request that it resumes a stream after an
	// event; 0 for a new stream.
	SetResumed(h http.Header, lastEvent int, stream string)
	// CopyHeader copies the header of an endpoint's response to the client's.
	CopyHeader(to, endpoint http.Header)
}

// Clock gives wall-clock time and time since boot.
type Clock interface {
	clock.Service
	clock.Boot
}

// Placer chooses engines with the latest state of all requests of a failure domain.
// It reports false if this host has to choose itself.
type Placer interface {
	Place(ctx context.Context, q place.Query) (place.Decision, bool)
}

// Origins knows at which builds streams began.
type Origins interface {
	// Record remembers the build at which a stream begins. After an error the stream must
	// not begin.
	Record(ctx context.Context, service, id, build string) error
	// Renew repeats the record of a stream that is still sent, recorded or renewed at a
	// time, if it is due. It returns the time of the newest record.
	Renew(service, id, build string, at time.Duration) time.Duration
	// Find returns the build that began the stream of a request.
	Find(ctx context.Context, service, id string) (origin.Answer, error)
	// BuildsToBegin returns the builds at which streams of a service should begin now, and
	// false if they may begin at any.
	BuildsToBegin(service string) ([]string, bool)
}

// Peers are the other hosts.
type Peers interface {
	// Forward has another host serve a request. After call.ErrNotForwarded it has not run;
	// after any other error it may have.
	Forward(ctx context.Context, req call.Forwarded) (*call.ForwardedResponse, error)
}

// Quota charges requests to the limits of client accounts.
type Quota interface {
	// Spend charges units to the limit of an account, or says that the request is rejected.
	Spend(ctx context.Context, account string, limit site.Limit, units float64) quota.Decision
	// ReturnUnits gives back the units of a request that was charged and has not run.
	ReturnUnits(account string, d quota.Decision, units float64)
}

// Config holds the dependencies and settings of a Relay.
type Config struct {
	Clock      Clock
	Codec      Codec
	Mirror     *mirror.Mirror
	Conns      *conns.Pool
	Loads      *load.Table
	CacheIndex *kvmap.Index
	Ejection   *eject.Table
	Pauses     *pause.Table
	// Pace holds the request limits that endpoints name.
	Pace *pace.Table
	// Room limits how many requests wait at brittle endpoints.
	Room *room.Table
	// Speeds holds the learned capacity of endpoints.
	Speeds *speed.Table
	// Avoid holds the endpoints that asked to get no requests for a time.
	Avoid *avoid.Table
	// PlacementUpdates sends the other hosts the placements that they would not expect.
	PlacementUpdates *kvmap.Outbox
	Budget           *budget.Tracker
	Poison           *poison.Table
	// Taint holds the parts of prompts that crash engines.
	Taint *taint.Table
	// SampleSize returns the number of engines that a placement considers.
	SampleSize func() int
	// HostCount returns the number of hosts that have ever registered.
	HostCount func() int
	Placer    Placer
	Origins   Origins
	// Reach tells whether this host is cut off from the endpoints, and Peers serve requests
	// in its place.
	Reach *reach.Table
	Peers Peers
	Quota Quota
	// IsPartitioned reports whether this host receives no messages from other hosts, so
	// that it is probably partitioned. Other hosts may then serve requests that it can't.
	IsPartitioned func() bool
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// OldWeightsGrace is how long requests may start on weights after a newer version
	// was published.
	OldWeightsGrace time.Duration
	// MaxConfigAge is the age of the configuration up to which API keys are accepted:
	// an older one may lack the revocation of a key.
	MaxConfigAge time.Duration
	// Guard bounds the memory of requests that other hosts forward; nil for no bound.
	Guard *httpd.Guard
	// MaxHeld limits the total bytes of responses that can't be forwarded yet.
	MaxHeld int64
	Logger  hclog.Logger
	Metrics *metrics.Set
}

// Relay is the HTTP handler of clients' requests.
type Relay struct {
	cfg     Config
	prompts *promptLengths
	weights *reportedWeights
	crashes *crashes
	// line holds the requests that wait for memory of engines.
	line       *line.Table
	roundRobin atomic.Uint64
	held       heldLimit
	inFlight   atomic.Int64
	stopping   atomic.Bool
	// ending ends with the time in which requests can be completed.
	ending context.Context
	end    context.CancelCauseFunc

	latency   *metrics.Histogram
	firstByte *metrics.Histogram
	// oldWeights counts the requests rejected because all engines have old weights.
	oldWeights *metrics.Counter
	tainted    *metrics.Counter
	// limited counts the requests rejected because of endpoints' request limits.
	limited *metrics.Counter
	// noRoom counts the requests rejected because brittle endpoints have no room.
	noRoom *metrics.Counter
	// noMemory counts the requests rejected because engines lack memory for them.
	noMemory *metrics.Counter
	// forwardedTotal counts the requests that other hosts served.
	forwardedTotal *metrics.Counter
}

// New returns a Relay and registers its metrics.
func New(cfg Config) *Relay {
	r := &Relay{
		cfg:        cfg,
		prompts:    newPromptLengths(),
		weights:    newReportedWeights(),
		line:       line.New(),
		latency:    cfg.Metrics.NewHistogram("cicada_relay_seconds"),
		firstByte:  cfg.Metrics.NewHistogram("cicada_relay_first_byte_seconds"),
		oldWeights: cfg.Metrics.NewCounter("cicada_relay_old_weights_total"),
		tainted:    cfg.Metrics.NewCounter("cicada_relay_tainted_total"),
		limited:    cfg.Metrics.NewCounter("cicada_relay_limited_total"),
		noRoom:     cfg.Metrics.NewCounter("cicada_relay_no_room_total"),
		noMemory:   cfg.Metrics.NewCounter("cicada_relay_no_memory_total"),

		forwardedTotal: cfg.Metrics.NewCounter("cicada_relay_forwarded_total"),
	}
	r.held.max = cfg.MaxHeld
	cfg.Metrics.NewGauge("cicada_relay_held_bytes", func() float64 { return float64(r.held.total.Load()) })
	cfg.Metrics.NewGauge("cicada_relay_room_waiting", func() float64 { return float64(r.line.Len()) })
	r.crashes = newCrashes(r)
	r.ending, r.end = context.WithCancelCause(context.Background())
	return r
}

// Stop makes clients move to other hosts: from now on each response closes its
// connection.
func (r *Relay) Stop() { r.stopping.Store(true) }

// End ends the requests in progress: those without a response are answered.
func (r *Relay) End() { r.end(errEnding) }

// InFlight returns the number of requests in progress.
func (r *Relay) InFlight() int64 { return r.inFlight.Load() }

// Ready reports whether requests can be served, and the reason if they can't.
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

// ServeHTTP serves a client's request.
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
	if fault := j.charge(); fault != nil {
		j.reject(fault)
		return
	}
	j.run()
}
