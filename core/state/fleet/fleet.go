// Package fleet defines the documents that operators publish: the contract of
// each client account and the fleet description. It parses and validates them.
package fleet

import (
	"fmt"
	"net/netip"
	"strings"
)

// EndpointKind says whether an endpoint is an engine or a service process.
type EndpointKind string

// The kinds of endpoints.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// Fleet describes the models, services and endpoints that the system routes to.
type Fleet struct {
	// Models are the language models that can be called.
	Models []Model `yaml:"models"`
	// Services are the services other than models.
	Services []Service `yaml:"services"`
	// Endpoints are the engines and service processes.
	Endpoints []Endpoint `yaml:"endpoints"`
	// OtherFloor is the share of engine capacity reserved for requests of rank other.
	OtherFloor float64 `yaml:"other-floor"`
	// ConcurrentLoads bounds the number of engines that load weights at the same time.
	ConcurrentLoads int `yaml:"concurrent-loads"`
	// ImportRate is the rate, in tokens per second, at which engines import pieces
	// from the KV cache store; 0 if there is none.
	ImportRate float64 `yaml:"import-rate"`
	// ExportAfter is the number of recent requests that must contain a piece before it
	// is exported to the KV cache store; 1 exports every computed piece.
	ExportAfter int `yaml:"export-after"`
	// CrashLimit is the number of engine crashes with the same request in flight after
	// which that request is rejected.
	CrashLimit int `yaml:"crash-limit"`
}

// Model is a language model.
type Model struct {
	// Name is the value of the field model in requests.
	Name string `yaml:"name"`
	// WeightsVersion is the version that engines must run.
	WeightsVersion string `yaml:"weights-version"`
	// PreviousVersion is a version that may serve requests while engines load
	// WeightsVersion; empty for none.
	PreviousVersion string `yaml:"previous-version"`
	// Adapter names an adapter that is loaded on top of the weights; empty for none.
	Adapter string `yaml:"adapter"`
}

// Service is a service other than a model.
type Service struct {
	// Name is the path element under /v1/services.
	Name string `yaml:"name"`
	// Repeatable lists the idempotent calls, which may be sent more than once.
	Repeatable []Call `yaml:"repeatable"`
	// StatusPath is the path of an idempotent GET that returns the outcome for an
	// idempotency key; {key} is replaced by the key. Empty if there is none.
	StatusPath string `yaml:"status-path"`
}

// Call matches requests by method and path prefix.
type Call struct {
	Method     string `yaml:"method"`
	PathPrefix string `yaml:"path-prefix"`
}

// Endpoint is one engine or service process.
type Endpoint struct {
	// Name is unique in the fleet.
	Name string `yaml:"name"`
	// FailureDomain is the failure domain that the endpoint runs in.
	FailureDomain string `yaml:"failure-domain"`
	// Kind is the kind of the endpoint.
	Kind EndpointKind `yaml:"kind"`
	// Serves names the models of an engine, or the service of a service process.
	Serves []string `yaml:"serves"`
	// Address is the address that the endpoint listens on.
	Address netip.AddrPort `yaml:"address"`
	// Slots is the number of requests that an engine runs at once.
	Slots int `yaml:"slots"`
	// PrefillRate is the rate, in tokens per second, at which the engine computes
	// prompt tokens that are not cached.
	PrefillRate float64 `yaml:"prefill-rate"`
	// ChecksFencing says that the endpoint rejects a call with an old fencing token.
	ChecksFencing bool `yaml:"checks-fencing"`
	// ChecksKeys says that the endpoint itself runs each idempotency key only once.
	ChecksKeys bool `yaml:"checks-keys"`
}

// Bounds on the values of a fleet description.
const (
	maxSlots           = 4096
	maxCrashLimit      = 16
	maxExportAfter     = 100
	maxConcurrentLoads = 64
)

// DefaultFleet returns the defaults for the fields of a fleet description.
func DefaultFleet() Fleet {
	return Fleet{
		OtherFloor:      0.1,
		ConcurrentLoads: 2,
		ExportAfter:     1,
		CrashLimit:      2,
	}
}

// Model returns the model with the given name.
func (f *Fleet) Model(name string) (Model, bool) {
	for _, m := range f.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the service with the given name.
func (f *Fleet) Service(name string) (Service, bool) {
	for _, s := range f.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Serving returns the endpoints of a kind that serve name.
func (f *Fleet) Serving(kind EndpointKind, name string) []Endpoint {
	var out []Endpoint
	for _, e := range f.Endpoints {
		if e.Kind == kind && contains(e.Serves, name) {
			out = append(out, e)
		}
	}
	return out
}

// IsRepeatable reports whether a call is idempotent and may be sent more than once.
func (s *Service) IsRepeatable(method, path string) bool {
	for _, c := range s.Repeatable {
		if c.Method == method && strings.HasPrefix(path, c.PathPrefix) {
			return true
		}
	}
	return false
}

// ParseFleet parses a fleet description from YAML. It rejects unknown fields and
// values out of range.
func ParseFleet(text string) (*Fleet, error) {
	f := DefaultFleet()
	if err := decodeStrict("fleet", text, &f); err != nil {
		return nil, err
	}
	if err := f.validate(); err != nil {
		return nil, err
	}
	return &f, nil
}

func (f *Fleet) validate() error {
	var errs fieldErrors
	f.validateScalars(&errs)
	served := make(map[string]EndpointKind)
	f.validateModels(&errs, served)
	f.validateServices(&errs, served)
	f.validateEndpoints(&errs, served)
	return errs.err("fleet")
}

func (f *Fleet) validateScalars(errs *fieldErrors) {
	errs.require(f.OtherFloor >= 0 && f.OtherFloor <= 0.5, "other-floor", "must be between 0 and 0.5")
	errs.require(f.ConcurrentLoads >= 1 && f.ConcurrentLoads <= maxConcurrentLoads, "concurrent-loads", "must be between 1 and %d", maxConcurrentLoads)
	errs.require(f.ImportRate >= 0 && f.ImportRate <= maxRate, "import-rate", "must be between 0 and %.0f", float64(maxRate))
	errs.require(f.ExportAfter >= 1 && f.ExportAfter <= maxExportAfter, "export-after", "must be between 1 and %d", maxExportAfter)
	errs.require(f.CrashLimit >= 1 && f.CrashLimit <= maxCrashLimit, "crash-limit", "must be between 1 and %d", maxCrashLimit)
}

func (f *Fleet) validateModels(errs *fieldErrors, served map[string]EndpointKind) {
	for i, m := range f.Models {
		field := fmt.Sprintf("models[%d]", i)
		checkName(errs, field+".name", m.Name)
		errs.require(m.WeightsVersion != "", field+".weights-version", "must not be empty")
		_, duplicate := served[m.Name]
		errs.require(!duplicate, field+".name", "stands twice: %q", m.Name)
		served[m.Name] = KindEngine
	}
}

func (f *Fleet) validateServices(errs *fieldErrors, served map[string]EndpointKind) {
	for i, s := range f.Services {
		field := fmt.Sprintf("services[%d]", i)
		checkName(errs, field+".name", s.Name)
		_, duplicate := served[s.Name]
		errs.require(!duplicate, field+".name", "stands twice: %q", s.Name)
		served[s.Name] = KindService
		for j, c := range s.Repeatable {
			at := fmt.Sprintf("%s.repeatable[%d]", field, j)
			errs.require(c.Method != "" && c.Method == strings.ToUpper(c.Method), at+".method", "must be an upper-case method")
			errs.require(strings.HasPrefix(c.PathPrefix, "/"), at+".path-prefix", "must begin with /")
		}
		ok := s.StatusPath == "" || strings.HasPrefix(s.StatusPath, "/") && strings.Contains(s.StatusPath, "{key}")
		errs.require(ok, field+".status-path", "must begin with / and hold {key}")
	}
}

func (f *Fleet) validateEndpoints(errs *fieldErrors, served map[string]EndpointKind) {
	names := make(map[string]bool)
	for i, e := range f.Endpoints {
		field := fmt.Sprintf("endpoints[%d]", i)
		checkName(errs, field+".name", e.Name)
		errs.require(!names[e.Name], field+".name", "stands twice: %q", e.Name)
		names[e.Name] = true
		checkName(errs, field+".failure-domain", e.FailureDomain)
		errs.require(e.Address.IsValid(), field+".address", "must be an IP address and port")
		errs.require(e.Kind == KindEngine || e.Kind == KindService, field+".kind", "must be engine or service, not %q", e.Kind)
		errs.require(len(e.Serves) > 0, field+".serves", "must not be empty")
		for j, s := range e.Serves {
			errs.require(served[s] == e.Kind, fmt.Sprintf("%s.serves[%d]", field, j), "no %s is called %q", e.Kind, s)
		}
		if e.Kind == KindEngine {
			errs.require(e.Slots >= 1 && e.Slots <= maxSlots, field+".slots", "must be between 1 and %d", maxSlots)
			errs.require(e.PrefillRate > 0, field+".prefill-rate", "must be above 0")
		}
	}
}
