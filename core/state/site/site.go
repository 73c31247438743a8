// Package site defines the routing configuration: routes, services, client
// accounts and endpoints. A platform adapter converts its own format into these
// types, which don't depend on the format of any platform.
package site

import (
	"errors"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Kind says whether the requests of a route may run more than once and whether they
// get a stream as their response.
type Kind int

// The kinds of a route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests get a stream of numbered events as their response.
	Stream
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non-idempotent"
	}
}

// Target is a service that receives a share of a route's requests, by weight.
type Target struct {
	Service string
	Weight  int
}

// Route assigns the requests for a host name and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the time that a caller waits.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response, or to the first
	// event of a stream.
	TargetLatency time.Duration
	// TargetGap is the target for the longest pause between two events of a stream.
	TargetGap time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank    int
	Targets []Target
	// MaxAttempts bounds the number of endpoints to which one request is sent.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
}

// Retryable reports whether a request may be sent again although it may already
// have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the endpoints of a service that runs models.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the size, in tokens, of the KV cache for running requests and
	// cached prompt parts.
	CacheTokens int
	// TransferRate is the rate, in tokens per second, at which an engine sends cached
	// prompt parts to another one; 0 if engines send none.
	TransferRate float64
	Models       []string
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that each endpoint accepts from all
	// hosts together.
	MaxConnections int
	// Engine is nil unless the endpoints run models.
	Engine *Engine
	// CacheStore is nil unless the service is a KV cache store.
	CacheStore *CacheStore
}

// CacheStore is a store from which engines can fetch the KV cache of prompt parts.
type CacheStore struct {
	Address netip.AddrPort
	// CacheTokens is its capacity in tokens.
	CacheTokens int
}

// Account is a client account.
type Account struct {
	Name string
	// Rank overrides the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
	// Isolated accounts share no cached prompt parts with other accounts.
	Isolated bool
	Limit    Limit
}

// Unit is the unit of an account's limit.
type Unit string

// The units of limits.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Limit is the limit of a client account over all hosts.
type Limit struct {
	// Rate is in units per second; the account has no limit if it is 0.
	Rate float64
	// Burst is the number of units that may be spent at once. If it is 0, requests fit one
	// after the other at the rate.
	Burst float64
	Unit  Unit
	// UncachedTokens is the cost in tokens of a request that does not state its usage.
	UncachedTokens int
}

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool { return l.Rate > 0 }

// Cost returns the cost of a request, given the tokens that it states; 0 if it states none.
func (l Limit) Cost(tokens int) float64 {
	switch {
	case l.Unit != UnitTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(max(0, l.UncachedTokens))
	}
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the routing configuration. It is immutable.
type Config struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// CacheStores lists the KV cache stores of all services.
	CacheStores []*CacheStore

	accounts    map[string]*Account
	limits      map[string]Limit
	hasAccounts bool
	routes      map[string][]*Route
	isolated    map[string]struct{}
	// sharedScope is the cache scope of the accounts that are not isolated.
	sharedScope string
}

// Spec is the input from which New builds a Config.
type Spec struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	Limits   Limits
	// Accounts holds the accounts by API key; nil if the deployment has no accounts.
	Accounts map[string]*Account
	// Isolated are the names of the isolated accounts, also of those without a key.
	Isolated []string
}

// ErrNoRoutes reports a configuration without routes.
var ErrNoRoutes = errors.New("configuration has no routes")

// New builds a configuration, with its routes indexed by host name.
func New(p Spec) (*Config, error) {
	if len(p.Routes) == 0 {
		return nil, ErrNoRoutes
	}
	c := &Config{
		Version:     p.Version,
		Services:    make(map[string]*Service, len(p.Services)),
		Limits:      p.Limits,
		accounts:    p.Accounts,
		limits:      make(map[string]Limit),
		hasAccounts: p.Accounts != nil,
		routes:      make(map[string][]*Route),
		isolated:    lo.Keyify(p.Isolated),
		sharedScope: sharedScope(p.Isolated),
	}
	for _, a := range p.Accounts {
		if a.Limit.IsSet() {
			c.limits[a.Name] = a.Limit
		}
	}
	for _, s := range p.Services {
		c.Services[s.Name] = s
		if s.CacheStore != nil {
			c.CacheStores = append(c.CacheStores, s.CacheStore)
		}
	}
	for _, r := range p.Routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, routes := range c.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return c, nil
}

// Match returns the route of a host name with the longest matching path prefix.
// The path is not normalized.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// ResumableServices returns the names of the services whose streams can be resumed.
func (c *Config) ResumableServices() map[string]bool {
	out := make(map[string]bool)
	for _, routes := range c.routes {
		for _, r := range routes {
			if r.Kind != Stream || !r.Resumable {
				continue
			}
			for _, t := range r.Targets {
				out[t.Service] = true
			}
		}
	}
	return out
}

// NeedsKey reports whether requests of a route need an API key.
func (c *Config) NeedsKey(r *Route) bool { return c.hasAccounts && !r.Public }

// Account returns the account that an API key belongs to.
func (c *Config) Account(key string) (*Account, bool) {
	a, ok := c.accounts[key]
	return a, ok
}

// Limit returns the limit of the account with a name. It returns false if there is none.
func (c *Config) Limit(account string) (Limit, bool) {
	l, ok := c.limits[account]
	return l, ok
}

// Endpoint is one incarnation of an endpoint: a restarted process is a new one.
type Endpoint struct {
	// ID identifies the incarnation.
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	// Build is the version of the endpoint's software. A stream can be resumed only at the
	// build that began it.
	Build string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Draining endpoints finish their running requests and accept no new ones.
	Draining bool
	// Started is when the incarnation started; zero if unknown.
	Started time.Time
	// Sequence counts the writes of the entry by the endpoint. It is as of the last other
	// change of the entry on hosts that receive the list.
	Sequence int64
	// Weights is the weights version by model.
	Weights map[string]int
}
