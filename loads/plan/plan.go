// Package plan reads the description of a workload and generates its requests,
// which depend on nothing but the description and its seed.
package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sort"
	"strings"
	"time"

	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/prefix"
	"cicadastand.dev/core/trans/setup"
)

// Kind is the kind of the requests of a stream.
type Kind string

// The kinds of requests.
const (
	// Completion is a chat completion request to a model.
	Completion Kind = "completion"
	// Order places an order at a service. It is not idempotent and is sent with an
	// idempotency key.
	Order Kind = "order"
)

// Workload describes the requests of a run.
type Workload struct {
	// Seed is the random seed of arrival times and prompts.
	Seed uint64 `yaml:"seed"`
	// Duration is the time during which requests arrive.
	Duration time.Duration `yaml:"duration"`
	// Routers are the addresses of the routers' interfaces for callers. Requests are
	// spread over them in turn.
	Routers []netip.AddrPort `yaml:"routers"`
	// Services are the addresses of the order services whose executions are checked
	// at the end of a run.
	Services []netip.AddrPort `yaml:"services"`
	// CacheLifetime is how long an engine caches a piece after its last use. It is
	// used to compute the best possible hit rate.
	CacheLifetime time.Duration `yaml:"cache-life"`
	// MaxInFlight is the maximum number of requests in flight; requests that arrive
	// above it are skipped.
	MaxInFlight int `yaml:"max-in-flight"`
	// Streams are the kinds of traffic.
	Streams []Stream `yaml:"streams"`
}

// Stream is one kind of traffic.
type Stream struct {
	Name string `yaml:"name"`
	Kind Kind   `yaml:"kind"`
	// Account is the client account that sends the requests, Key its API key and Rank
	// their rank.
	Account string     `yaml:"account"`
	Key     string     `yaml:"key"`
	Rank    fleet.Rank `yaml:"rank"`
	// Rate is in requests a second.
	Rate float64 `yaml:"rate"`
	// Model is the model to call. Responses are checked to come from it and from
	// WeightsVersion.
	Model          string `yaml:"model"`
	WeightsVersion string `yaml:"weights-version"`
	MaxTokens      int    `yaml:"max-tokens"`
	Streaming      bool   `yaml:"streaming"`
	// CataloguePieces is the length of the prefix that all prompts of the stream
	// share, in KV cache blocks (see package prefix).
	CataloguePieces int `yaml:"catalogue-pieces"`
	// Customers is the number of customers. The customer of a prompt follows a Zipf
	// distribution with exponent Zipf.
	Customers      int     `yaml:"customers"`
	CustomerPieces int     `yaml:"customer-pieces"`
	Zipf           float64 `yaml:"zipf"`
	// Conversations is the number of conversations of each customer.
	Conversations      int `yaml:"conversations"`
	ConversationPieces int `yaml:"conversation-pieces"`
	// ShiftAt is the time at which the popularity of customers is reversed, so that
	// the rarest become the most frequent; 0 disables this.
	ShiftAt time.Duration `yaml:"shift"`
	// Service is the service that receives the orders. RetryShare is the share of
	// orders that are sent twice.
	Service    string  `yaml:"service"`
	RetryShare float64 `yaml:"repeat-share"`
	// Bursts are times with a higher rate.
	Bursts []Burst `yaml:"floods"`
}

// Burst multiplies the rate of a stream by Factor between From and Until.
type Burst struct {
	From   time.Duration `yaml:"from"`
	Until  time.Duration `yaml:"until"`
	Factor float64       `yaml:"factor"`
}

// Request is one request of a run.
type Request struct {
	// At is the arrival time, counted from the start of the run.
	At     time.Duration
	Stream *Stream
	// Router is the index in Workload.Routers of the router that receives it.
	Router int
	Number int
	// Prompt is the user's prompt of a completion.
	Prompt string
	// Retry makes the driver send an order a second time, to another router.
	Retry bool
}

// Defaults returns a workload with the default values of fields that a file omits.
func Defaults() Workload {
	return Workload{Seed: 1, Duration: 10 * time.Second, CacheLifetime: 20 * time.Second, MaxInFlight: 2000}
}

// Load reads and validates a workload file.
func Load(path string) (*Workload, error) {
	w := Defaults()
	if err := setup.Load(path, &w); err != nil {
		return nil, fmt.Errorf("load workload: %w", err)
	}
	return &w, nil
}

// ErrField reports a value of a workload that is out of range.
type ErrField struct{ Field, Reason string }

func (e *ErrField) Error() string { return e.Field + ": " + e.Reason }

// Validate returns an error for the first invalid field.
func (w *Workload) Validate() error {
	if len(w.Routers) == 0 {
		return &ErrField{"routers", "must hold at least one address"}
	}
	if w.Duration <= 0 || w.Duration > time.Hour {
		return &ErrField{"duration", "must be above 0 and at most 1h"}
	}
	if w.MaxInFlight < 1 {
		return &ErrField{"max-in-flight", "must be above 0"}
	}
	for i, s := range w.Streams {
		field := fmt.Sprintf("streams[%d]", i)
		switch {
		case s.Kind != Completion && s.Kind != Order:
			return &ErrField{field + ".kind", "must be completion or order"}
		case s.Rate <= 0 || s.Rate > 10_000:
			return &ErrField{field + ".rate", "must be above 0 and at most 10000"}
		case s.Kind == Completion && (s.Model == "" || s.MaxTokens < 1 || s.Customers < 1 || s.Conversations < 1):
			return &ErrField{field, "a completion needs model, max-tokens, customers and conversations"}
		case s.Kind == Order && s.Service == "":
			return &ErrField{field + ".service", "must name the service"}
		}
	}
	return nil
}

// Requests returns the requests of the workload in the order of arrival. The same
// workload always yields the same requests.
func (w *Workload) Requests() []Request {
	var out []Request
	for i := range w.Streams {
		g := newGenerator(w, i)
		out = append(out, g.requests()...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	for i := range out {
		out[i].Number = i
		out[i].Router = i % len(w.Routers)
	}
	return out
}

// generator generates the requests of one stream.
type generator struct {
	w                 *Workload
	s                 *Stream
	rng               *rand.Rand
	cumulativeWeights []float64
}

func newGenerator(w *Workload, i int) *generator {
	g := &generator{w: w, s: &w.Streams[i], rng: rand.New(rand.NewPCG(w.Seed, uint64(i)))}
	sum := 0.0
	for c := range g.s.Customers {
		sum += 1 / math.Pow(float64(c+1), g.s.Zipf)
		g.cumulativeWeights = append(g.cumulativeWeights, sum)
	}
	return g
}

func (g *generator) requests() []Request {
	var out []Request
	for at := g.interarrivalTime(0); at < g.w.Duration; at += g.interarrivalTime(at) {
		r := Request{At: at, Stream: g.s}
		if g.s.Kind == Completion {
			r.Prompt = g.prompt(at)
		} else {
			r.Retry = g.rng.Float64() < g.s.RetryShare
		}
		out = append(out, r)
	}
	return out
}

// interarrivalTime returns the time from at to the next arrival. It
// follows an exponential distribution with the rate at that time.
func (g *generator) interarrivalTime(at time.Duration) time.Duration {
	rate := g.s.Rate
	for _, f := range g.s.Bursts {
		if at >= f.From && at < f.Until {
			rate *= f.Factor
		}
	}
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) prompt(at time.Duration) string {
	customer := g.customer()
	if g.s.ShiftAt > 0 && at >= g.s.ShiftAt {
		customer = g.s.Customers - 1 - customer
	}
	conversation := g.rng.IntN(g.s.Conversations)
	var b strings.Builder
	b.WriteString(textOfPieces(fmt.Sprintf("catalogue of %s/%s.", g.s.Account, g.s.Name), g.s.CataloguePieces))
	b.WriteString(textOfPieces(fmt.Sprintf("customer %d.", customer), g.s.CustomerPieces))
	b.WriteString(textOfPieces(fmt.Sprintf("conversation %d.", conversation), g.s.ConversationPieces))
	_, _ = fmt.Fprintf(&b, "question %d", g.rng.Uint64())
	return b.String()
}

func (g *generator) customer() int {
	x := g.rng.Float64() * g.cumulativeWeights[len(g.cumulativeWeights)-1]
	return sort.SearchFloat64s(g.cumulativeWeights, x)
}

// textOfPieces returns a text that is n pieces long and repeats phrase.
func textOfPieces(phrase string, n int) string {
	size := n * prefix.PieceBytes
	return strings.Repeat(phrase, size/len(phrase)+1)[:size]
}
