// Package prefs holds the settings of a router process.
package prefs

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/trans/setup"
)

// Settings are the settings of a router process.
type Settings struct {
	Host      Host      `yaml:"host"`
	Callers   Callers   `yaml:"callers"`
	Operators Operators `yaml:"operators"`
	Peers     Peers     `yaml:"peers"`
	Platform  Platform  `yaml:"platform"`
	Routing   Routing   `yaml:"routing"`
	Admission Admission `yaml:"admission"`
	Chores    Chores    `yaml:"chores"`
	Stop      Stop      `yaml:"stop"`
	Limits    Limits    `yaml:"limits"`
	Log       Log       `yaml:"log"`
	// Snapshot is the path of a configuration snapshot that is used until a newer
	// configuration is received.
	Snapshot string `yaml:"snapshot"`
}

// Host identifies this host.
type Host struct {
	Name          string `yaml:"name"`
	FailureDomain string `yaml:"failure-domain"`
	// Source is the local address of outgoing connections; by default the operating
	// system chooses it.
	Source netip.Addr `yaml:"source"`
	// Advertise is the address at which peers reach this host, if it differs from the
	// address that it listens on.
	Advertise netip.AddrPort `yaml:"advertise"`
}

// TLS names the files of a key pair. If an authority is given, the other side must
// present a certificate that this authority signed.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Enabled reports whether TLS is used.
func (t TLS) Enabled() bool { return t.Certificate != "" || t.Key != "" || t.Authority != "" }

// Callers configures the API for callers.
type Callers struct {
	Address netip.AddrPort `yaml:"address"`
	TLS     TLS            `yaml:"tls"`
	// MaxBodyBytes is the largest accepted request body.
	MaxBodyBytes int64 `yaml:"max-body-bytes"`
	// ReadTimeout bounds the time to read the head of a request. A body must make progress.
	ReadTimeout time.Duration `yaml:"read-timeout"`
	// WriteTimeout is how long a caller may take no byte of its response.
	WriteTimeout time.Duration `yaml:"write-timeout"`
	// IdleTimeout is how long an idle connection stays open.
	IdleTimeout time.Duration `yaml:"idle-timeout"`
}

// Operators configures the API for operators.
type Operators struct {
	Address netip.AddrPort `yaml:"address"`
	TLS     TLS            `yaml:"tls"`
	// Keys are the API keys that operators authenticate with.
	Keys []OperatorKey `yaml:"keys"`
}

// OperatorKey is the API key of one operator.
type OperatorKey struct {
	// Name is recorded as the author of changes in the history.
	Name string `yaml:"name"`
	// Hash is the hex SHA-256 digest of the key.
	Hash string `yaml:"hash"`
}

func (k OperatorKey) valid() bool {
	raw, err := hex.DecodeString(k.Hash)
	return err == nil && len(raw) == sha256.Size && fleet.ValidName(k.Name)
}

// Peers configures the exchange of state with the other hosts.
type Peers struct {
	Address netip.AddrPort `yaml:"address"`
	TLS     TLS            `yaml:"tls"`
	// Seeds are the peers to contact until the platform's list of hosts is known.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Interval is the time between exchanges.
	Interval time.Duration `yaml:"interval"`
	// Fanout is the number of peers contacted in each interval.
	Fanout int `yaml:"fanout"`
}

// Platform configures access to the platform's services.
type Platform struct {
	Address netip.AddrPort `yaml:"address"`
	Timeout time.Duration  `yaml:"timeout"`
	// ListInterval is the time between reads of the list of hosts.
	ListInterval time.Duration `yaml:"list-interval"`
}

// Routing configures the selection of endpoints.
type Routing struct {
	Policy string `yaml:"policy"`
	// ProbeInterval is the time between load reports of an endpoint.
	ProbeInterval time.Duration `yaml:"probe-interval"`
	// ReportLag is the age of an endpoint's load report when it arrives.
	ReportLag time.Duration `yaml:"report-lag"`
	// StallTimeout is how long a stream from an engine may make no progress.
	StallTimeout time.Duration `yaml:"stall-timeout"`
	// CacheEvents enables reading the engines' cache events. A large fleet produces too
	// many of them for each host to read.
	CacheEvents bool `yaml:"cache-events"`
	// MaxKeys bounds the cached pieces in this host's index.
	MaxKeys int `yaml:"max-keys"`
}

// Admission configures the admission queues of the models.
type Admission struct {
	// MaxQueue bounds the queued requests of each rank.
	MaxQueue int `yaml:"max-queue"`
	// UrgentReserve is the fraction of the slots that only urgent requests may use.
	UrgentReserve float64 `yaml:"urgent-reserve"`
	// Overcommit is the ratio of the requests that may be sent to an engine to its slots.
	Overcommit float64 `yaml:"overcommit"`
}

// Chores configures the periodic tasks that one host performs for all hosts.
type Chores struct {
	// HeartbeatInterval is the time between heartbeat records on the log.
	HeartbeatInterval time.Duration `yaml:"heartbeat-interval"`
	// CheckpointInterval is the time between checkpoints of the configuration.
	CheckpointInterval time.Duration `yaml:"checkpoint-interval"`
}

// Stop configures the graceful stop.
type Stop struct {
	// Notice is the time between the announcement of the stop and the closing of the
	// listeners, in which the load balancer and callers switch to other hosts.
	Notice time.Duration `yaml:"notice"`
	// Linger is how long idle connections of callers stay open after the listeners are
	// closed.
	Linger time.Duration `yaml:"linger"`
	// Grace bounds the whole graceful stop, including the wait for requests in progress.
	Grace time.Duration `yaml:"grace"`
}

// Limits are the limits of the process.
type Limits struct {
	// MemoryMB is the memory of the process in MiB; 0 for what GOMEMLIMIT or the machine
	// gives.
	MemoryMB int64 `yaml:"memory-mb"`
	// MaxFiles is the number of descriptors that the process may open; 0 for the limit of
	// the operating system.
	MaxFiles int `yaml:"max-files"`
	// MaxConnsPerAddress bounds the connections of one client address at each port; 0 for
	// no bound.
	MaxConnsPerAddress int `yaml:"max-connections-per-address"`
}

// Log configures the log of the process.
type Log struct {
	Level string `yaml:"level"`
	JSON  bool   `yaml:"json"`
}

// Defaults returns the values of the settings that a file leaves out.
func Defaults() Settings {
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	return Settings{
		Callers: Callers{
			Address:      netip.AddrPortFrom(loopback, 7100),
			MaxBodyBytes: 4 << 20,
			ReadTimeout:  30 * time.Second,
			WriteTimeout: 10 * time.Second,
			IdleTimeout:  90 * time.Second,
		},
		Operators: Operators{Address: netip.AddrPortFrom(loopback, 7200)},
		Peers: Peers{
			Address:  netip.AddrPortFrom(loopback, 7300),
			Interval: 500 * time.Millisecond,
			Fanout:   3,
		},
		Platform:  Platform{Timeout: 2 * time.Second, ListInterval: time.Second},
		Routing:   Routing{Policy: route.NameExpect, ProbeInterval: 100 * time.Millisecond, ReportLag: 200 * time.Millisecond, StallTimeout: 3 * time.Second, CacheEvents: true, MaxKeys: 50_000},
		Admission: Admission{MaxQueue: 1000, UrgentReserve: 0.1, Overcommit: 0.85},
		Chores:    Chores{HeartbeatInterval: 2 * time.Second, CheckpointInterval: time.Minute},
		Stop:      Stop{Notice: time.Second, Linger: 5 * time.Second, Grace: 2 * time.Minute},
		Log:       Log{Level: "info"},
	}
}

// Load reads the settings from a file.
func Load(path string) (Settings, error) {
	s := Defaults()
	if err := setup.Load(path, &s); err != nil {
		return Settings{}, fmt.Errorf("load settings: %w", err)
	}
	return s, nil
}

// ErrField reports an invalid setting.
type ErrField struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *ErrField) Error() string { return e.Field + ": " + e.Reason }

// Validate checks the settings and returns the first violation as an ErrField.
func (s *Settings) Validate() error {
	for _, c := range s.checks() {
		if !c.ok {
			return &ErrField{Field: c.field, Reason: c.reason}
		}
	}
	if err := s.validateTLS(); err != nil {
		return err
	}
	if s.Snapshot != "" {
		if _, err := os.Stat(s.Snapshot); err != nil {
			return &ErrField{Field: "snapshot", Reason: err.Error()}
		}
	}
	return nil
}

// The least limits with which a router can serve requests.
const (
	minMemoryMB = 64
	minFiles    = 256
)

type check struct {
	ok     bool
	field  string
	reason string
}

func (s *Settings) checks() []check {
	const name = "must be 1 to 64 of a-z, 0-9, dot, dash and underscore"
	const address = "must be an IP address and port"
	const positive = "must be above 0"
	return []check{
		{fleet.ValidName(s.Host.Name), "host.name", name},
		{fleet.ValidName(s.Host.FailureDomain), "host.failure-domain", name},
		{s.Callers.Address.IsValid(), "callers.address", address},
		{s.Callers.MaxBodyBytes > 0, "callers.max-body-bytes", positive},
		{s.Callers.ReadTimeout > 0, "callers.read-timeout", positive},
		{s.Callers.WriteTimeout > 0, "callers.write-timeout", positive},
		{s.Callers.IdleTimeout > 0, "callers.idle-timeout", positive},
		{s.Operators.Address.IsValid(), "operators.address", address},
		{len(s.Operators.Keys) > 0, "operators.keys", "must hold at least one key"},
		{lo.EveryBy(s.Operators.Keys, OperatorKey.valid), "operators.keys", "each must have a name and the 64 hex digits of a digest"},
		{s.Peers.Address.IsValid(), "peers.address", address},
		{s.Peers.Interval > 0, "peers.interval", positive},
		{s.Peers.Fanout > 0, "peers.fanout", positive},
		{s.Platform.Address.IsValid(), "platform.address", address},
		{s.Platform.Timeout > 0, "platform.timeout", positive},
		{s.Platform.ListInterval > 0, "platform.list-interval", positive},
		{slices.Contains(route.Names(), s.Routing.Policy), "routing.policy", fmt.Sprintf("must be one of %v", route.Names())},
		{s.Routing.ProbeInterval > 0, "routing.probe-interval", positive},
		{s.Routing.ReportLag >= 0, "routing.report-lag", "must not be negative"},
		{s.Routing.StallTimeout > 0, "routing.stall-timeout", positive},
		{s.Routing.MaxKeys > 0, "routing.max-keys", positive},
		{s.Admission.MaxQueue > 0, "admission.max-queue", positive},
		{s.Admission.UrgentReserve >= 0 && s.Admission.UrgentReserve < 1, "admission.urgent-reserve", "must be at least 0 and below 1"},
		{s.Admission.Overcommit > 0 && s.Admission.Overcommit <= 16, "admission.overcommit", "must be above 0 and at most 16"},
		{s.Chores.HeartbeatInterval > 0, "chores.heartbeat-interval", positive},
		{s.Chores.CheckpointInterval > 0, "chores.checkpoint-interval", positive},
		{s.Stop.Notice >= 0, "stop.notice", "must not be negative"},
		{s.Stop.Linger >= 0, "stop.linger", "must not be negative"},
		{s.Stop.Grace > 0, "stop.grace", positive},
		{s.Limits.MemoryMB == 0 || s.Limits.MemoryMB >= minMemoryMB, "limits.memory-mb", fmt.Sprintf("must be 0 or at least %d", minMemoryMB)},
		{s.Limits.MaxFiles == 0 || s.Limits.MaxFiles >= minFiles, "limits.max-files", fmt.Sprintf("must be 0 or at least %d", minFiles)},
		{s.Limits.MaxConnsPerAddress >= 0, "limits.max-connections-per-address", "must not be negative"},
		{hclog.LevelFromString(s.Log.Level) != hclog.NoLevel, "log.level", "must be trace, debug, info, warn or error"},
	}
}

func (s *Settings) validateTLS() error {
	sections := []struct {
		field string
		tls   TLS
	}{{"callers.tls", s.Callers.TLS}, {"operators.tls", s.Operators.TLS}, {"peers.tls", s.Peers.TLS}}
	for _, sec := range sections {
		if !sec.tls.Enabled() {
			continue
		}
		if sec.tls.Certificate == "" || sec.tls.Key == "" {
			return &ErrField{Field: sec.field, Reason: "certificate and key must both be given"}
		}
		for _, path := range []string{sec.tls.Certificate, sec.tls.Key, sec.tls.Authority} {
			if path == "" {
				continue
			}
			if _, err := os.Stat(path); err != nil {
				return &ErrField{Field: sec.field, Reason: err.Error()}
			}
		}
	}
	return nil
}
