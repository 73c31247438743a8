package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

// Contract holds the permissions, limits and service targets of one client account.
type Contract struct {
	// Account names the client account.
	Account string `yaml:"account"`
	// KeyHashes are the hex SHA-256 digests of the account's API keys.
	KeyHashes []string `yaml:"key-hashes"`
	// Rank is the default rank of requests.
	Rank Rank `yaml:"rank"`
	// Ranks are the ranks that a request may set in addition to Rank.
	Ranks []Rank `yaml:"ranks"`
	// Weight is the weight of the account in the fair queueing among accounts of the same
	// rank.
	Weight float64 `yaml:"weight"`
	// Limits are the limits of the account over all hosts.
	Limits Limits `yaml:"limits"`
	// Urgent is the service target of urgent requests.
	Urgent Target `yaml:"urgent"`
	// Other is the service target of all other requests.
	Other Target `yaml:"other"`
	// Models are the models that the account may call.
	Models []string `yaml:"models"`
	// Services are the services that the account may call.
	Services []string `yaml:"services"`
}

// Limits bound the usage of one account over all hosts together.
type Limits struct {
	// RequestsPerSecond bounds the rate of requests.
	RequestsPerSecond float64 `yaml:"requests-per-second"`
	// TokensPerSecond bounds the rate of prompt and answer tokens together.
	TokensPerSecond float64 `yaml:"tokens-per-second"`
	// Concurrency bounds the requests in flight.
	Concurrency int `yaml:"concurrency"`
}

// Target is the service target of the requests of one rank.
type Target struct {
	// FirstToken is the target for the time to first token.
	FirstToken time.Duration `yaml:"first-token"`
	// Deadline bounds the duration of a request.
	Deadline time.Duration `yaml:"deadline"`
}

// Bounds on the values of a contract.
const (
	maxNameLen    = 64
	maxWeight     = 1000
	maxDeadline   = 30 * time.Minute
	maxRate       = 1e9
	maxInFlight   = 1_000_000
	keyHashHexLen = 2 * sha256.Size
)

// DefaultContract returns the defaults for the fields of a contract.
func DefaultContract() Contract {
	return Contract{
		Rank:   RankOther,
		Weight: 1,
		Limits: Limits{RequestsPerSecond: 50, TokensPerSecond: 200_000, Concurrency: 64},
		Urgent: Target{FirstToken: 600 * time.Millisecond, Deadline: 10 * time.Second},
		Other:  Target{FirstToken: 5 * time.Second, Deadline: time.Minute},
	}
}

// HashKey returns the digest of an API key, as it is listed in KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Target returns the service target of a rank.
func (c *Contract) Target(rank Rank) Target {
	if rank == RankUrgent {
		return c.Urgent
	}
	return c.Other
}

// AllowsRank reports whether a request of the account may have the given rank.
func (c *Contract) AllowsRank(rank Rank) bool {
	return rank == c.Rank || slices.Contains(c.Ranks, rank)
}

// AllowsModel reports whether the account may call a model.
func (c *Contract) AllowsModel(model string) bool { return slices.Contains(c.Models, model) }

// AllowsService reports whether the account may call a service.
func (c *Contract) AllowsService(service string) bool { return slices.Contains(c.Services, service) }

// ParseContract parses a contract from YAML. It rejects unknown fields and values
// out of range.
func ParseContract(text string) (*Contract, error) {
	c := DefaultContract()
	if err := decodeStrict("contract", text, &c); err != nil {
		return nil, err
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	return &c, nil
}

func (c *Contract) validate() error {
	var f fieldErrors
	checkName(&f, "account", c.Account)
	f.require(len(c.KeyHashes) > 0, "key-hashes", "must hold at least one digest")
	for i, h := range c.KeyHashes {
		checkDigest(&f, fmt.Sprintf("key-hashes[%d]", i), h)
	}
	f.require(c.Rank.Valid(), "rank", "must be urgent or other, not %q", c.Rank)
	for i, r := range c.Ranks {
		f.require(r.Valid(), fmt.Sprintf("ranks[%d]", i), "must be urgent or other, not %q", r)
	}
	f.require(c.Weight > 0 && c.Weight <= maxWeight, "weight", "must be above 0 and at most %d", maxWeight)
	checkRate(&f, "limits.requests-per-second", c.Limits.RequestsPerSecond)
	checkRate(&f, "limits.tokens-per-second", c.Limits.TokensPerSecond)
	f.require(c.Limits.Concurrency > 0 && c.Limits.Concurrency <= maxInFlight,
		"limits.concurrency", "must be between 1 and %d", maxInFlight)
	checkTarget(&f, "urgent", c.Urgent)
	checkTarget(&f, "other", c.Other)
	for i, m := range c.Models {
		checkName(&f, fmt.Sprintf("models[%d]", i), m)
	}
	for i, s := range c.Services {
		checkName(&f, fmt.Sprintf("services[%d]", i), s)
	}
	f.require(len(c.Models)+len(c.Services) > 0, "models", "a contract must allow a model or a service")
	return f.err("contract")
}

func checkRate(f *fieldErrors, field string, v float64) {
	f.require(v > 0 && v <= maxRate, field, "must be above 0 and at most %.0f", float64(maxRate))
}

func checkTarget(f *fieldErrors, field string, t Target) {
	f.require(t.FirstToken > 0 && t.FirstToken <= maxDeadline, field+".first-token", "must be above 0 and at most %s", maxDeadline)
	f.require(t.Deadline > 0 && t.Deadline <= maxDeadline, field+".deadline", "must be above 0 and at most %s", maxDeadline)
	f.require(t.FirstToken <= t.Deadline, field+".first-token", "must not exceed the deadline")
}

func checkDigest(f *fieldErrors, field, h string) {
	_, err := hex.DecodeString(h)
	f.require(err == nil && len(h) == keyHashHexLen, field, "must be %d hex digits", keyHashHexLen)
}
