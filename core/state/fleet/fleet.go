// Package fleet holds the typed documents that operators publish: the contract
// of each client account and the description of the fleet.
package fleet

import (
	"fmt"
	"net/netip"
	"strings"
)

// EndpointKind says what an endpoint serves.
type EndpointKind string

// The kinds of endpoints.
const (
	KindEngine  EndpointKind = "engine"
	KindService EndpointKind = "service"
)

// Fleet describes the models, services and endpoints that the system routes to.
type Fleet struct {
	// Models are the language models in service.
	Models []Model `yaml:"models"`
	// Services are the plain services beside the engines.
	Services []Service `yaml:"services"`
	// Endpoints are the engines and service processes.
	Endpoints []Endpoint `yaml:"endpoints"`
	// OtherFloor is the share of engine capacity kept for work that is not urgent.
	OtherFloor float64 `yaml:"other-floor"`
	// ConcurrentLoads bounds how many engines load weights at once.
	ConcurrentLoads int `yaml:"concurrent-loads"`
	// ImportRate is the speed, in tokens a second, at which engines import pieces
	// from the store of kept KV cache; 0 if there is none.
	ImportRate float64 `yaml:"import-rate"`
	// ExportAfter is the number of recent requests with a piece from which on the
	// piece is exported to the store; 1 exports every computed piece.
	ExportAfter int `yaml:"export-after"`
	// CrashLimit is how many engines a request may crash before it is refused.
	CrashLimit int `yaml:"crash-limit"`
}

// Model is a language model in service.
type Model struct {
	// Name is what callers put in the field model.
	Name string `yaml:"name"`
	// WeightsVersion is the version that engines must run.
	WeightsVersion string `yaml:"weights-version"`
	// PreviousVersion may serve while engines load the new one; empty for none.
	PreviousVersion string `yaml:"previous-version"`
	// Adapter names an adapter that is loaded on top of the weights.
	Adapter string `yaml:"adapter"`
}

// Service is a plain service beside the engines.
type Service struct {
	// Name is the path element under /v1/services.
	Name string `yaml:"name"`
	// Repeatable lists the calls that may be sent more than once.
	Repeatable []Call `yaml:"repeatable"`
	// StatusPath is a repeatable GET that tells the outcome for a key; {key} is replaced.
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
	// FailureDomain is where the endpoint stands.
	FailureDomain string `yaml:"failure-domain"`
	// Kind says what the endpoint serves.
	Kind EndpointKind `yaml:"kind"`
	// Serves names the models of an engine or the one service of a service endpoint.
	Serves []string `yaml:"serves"`
	// Address is where the endpoint listens.
	Address netip.AddrPort `yaml:"address"`
	// Slots is how many requests an engine runs at once.
	Slots int `yaml:"slots"`
	// PrefillRate is the engine's speed in tokens a second for missed prefixes.
	PrefillRate float64 `yaml:"prefill-rate"`
	// ChecksFencing says that the endpoint refuses an order with an old fencing number.
	ChecksFencing bool `yaml:"checks-fencing"`
	// ChecksKeys says that the endpoint itself runs each idempotency key once.
	ChecksKeys bool `yaml:"checks-keys"`
}

// Bounds on the values of a fleet description.
const (
	maxSlots           = 4096
	maxCrashLimit      = 16
	maxExportAfter     = 100
	maxConcurrentLoads = 64
)

// DefaultFleet returns the values used for fields that a description leaves out.
func DefaultFleet() Fleet {
	return Fleet{
		OtherFloor:      0.1,
		ConcurrentLoads: 2,
		ExportAfter:     1,
		CrashLimit:      2,
	}
}

// Model returns the model called name.
func (f *Fleet) Model(name string) (Model, bool) {
	for _, m := range f.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the service called name.
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

// IsRepeatable reports whether a call may be sent more than once.
func (s *Service) IsRepeatable(method, path string) bool {
	for _, c := range s.Repeatable {
		if c.Method == method && strings.HasPrefix(path, c.PathPrefix) {
			return true
		}
	}
	return false
}

// ParseFleet reads a fleet description from YAML, refusing unknown fields and values out of range.
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
