// Package site describes what the router serves: routes, services, client
// accounts and endpoints. A platform adapter decodes its own form into these
// types once; nothing in them depends on how a platform spells them.
package site

import (
	"errors"
	"net/netip"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind int

// The kinds of a route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Stream answers are a series of numbered events.
	Stream
)

// String returns the kind as logs show it.
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

// Target is one of the services that share a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route says which service answers the requests below a path of a host.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to a stream's first event.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events of a stream that is on time.
	TargetGap time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank    int
	Targets []Target
	// MaxAttempts is the most endpoints to which one request is sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another endpoint.
	Resumable bool
}

// Retryable reports whether a request that may have run can be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the endpoints of a service that run models.
type Engine struct {
	Slots int
	// CacheTokens is the memory for running requests and cached prompt parts.
	CacheTokens int
	// TransferRate is how many tokens of cache an engine sends to another one in a
	// second; 0 if they send none.
	TransferRate float64
	Models       []string
}

// Service is a set of endpoints that answer alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what each endpoint accepts from all hosts together.
	MaxConnections int
	// Engine is nil unless the endpoints run models.
	Engine *Engine
	// CacheStore keeps prompt parts for engines; nil unless the service is such a store.
	CacheStore *CacheStore
}

// CacheStore is a store of prompt parts.
type CacheStore struct {
	Address netip.AddrPort
	// CacheTokens is its capacity.
	CacheTokens int
}

// Account is a client account.
type Account struct {
	Name string
	// Rank goes before the rank of the route if HasRank is set.
	Rank    int
	HasRank bool
	// Isolated accounts share no cached prompt part with others.
	Isolated bool
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
	// CacheStores are the stores of prompt parts.
	CacheStores []*CacheStore

	accounts    map[string]*Account
	hasAccounts bool
	routes      map[string][]*Route
}

// Spec is what a Config is made from.
type Spec struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	Limits   Limits
	// Accounts by API key; nil if the deployment has no accounts.
	Accounts map[string]*Account
}

// ErrNoRoutes reports a configuration that could serve nothing.
var ErrNoRoutes = errors.New("configuration has no routes")

// New indexes the parts of a configuration.
func New(p Spec) (*Config, error) {
	if len(p.Routes) == 0 {
		return nil, ErrNoRoutes
	}
	c := &Config{
		Version:     p.Version,
		Services:    make(map[string]*Service, len(p.Services)),
		Limits:      p.Limits,
		accounts:    p.Accounts,
		hasAccounts: p.Accounts != nil,
		routes:      make(map[string][]*Route),
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

// Match returns the route of a host with the longest prefix of the path. The
// path is taken as it was sent.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey reports whether requests of a route must bring an API key.
func (c *Config) NeedsKey(r *Route) bool { return c.hasAccounts && !r.Public }

// Account returns the account that holds a key.
func (c *Config) Account(key string) (*Account, bool) {
	a, ok := c.accounts[key]
	return a, ok
}

// Endpoint is one incarnation of a server.
type Endpoint struct {
	// ID names the incarnation.
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining endpoints finish what they run and take nothing new.
	Draining bool
	// Started is when the incarnation began; zero if it was not told.
	Started time.Time
	// Weights is the version of the weights of each model.
	Weights map[string]int
}
