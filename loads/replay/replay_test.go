package replay_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/loads/drive"
	"cicadastand.dev/loads/plan"
	"cicadastand.dev/loads/replay"
)

func workload() *plan.Workload {
	w := plan.Defaults()
	w.Duration = 10 * time.Second
	w.Routers = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	w.Streams = []plan.Stream{{
		Name: "consults", Kind: plan.Completion, Account: "a", Rank: fleet.RankUrgent, Rate: 100, Model: "m", WeightsVersion: "v1", MaxTokens: 60,
		CataloguePieces: 3, Customers: 50, CustomerPieces: 1, Zipf: 1, Conversations: 2, ConversationPieces: 1,
	}}
	return &w
}

func run(t *testing.T, change func(*replay.Config)) replay.Result {
	w := workload()
	cfg := replay.DefaultConfig()
	cfg.WarmUp = 3 * time.Second
	change(&cfg)
	r, err := replay.Run(cfg, w.Requests())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func hitRate(r replay.Result) float64 {
	prompt, cached := 0, 0
	for _, s := range r.Samples {
		prompt += s.PromptTokens
		cached += s.CachedTokens
	}
	return float64(cached) / float64(prompt)
}

// TestReplayIsDeterministic guards against replays that depend on the machine's
// clock or on random order: two runs with the same requests must be identical.
func TestReplayIsDeterministic(t *testing.T) {
	is := is.New(t)
	unchanged := func(*replay.Config) {}
	first, second := run(t, unchanged), run(t, unchanged)
	is.Equal(first, second)
	for _, s := range first.Samples {
		is.Equal(s.Outcome, drive.Correct)
	}
}

func TestDefaultPolicyHasHigherHitRateThanBaselines(t *testing.T) {
	is := is.New(t)
	defaultHitRate := hitRate(run(t, func(*replay.Config) {}))
	for _, name := range []string{route.NameRoundRobin, route.NameLeastLoad} {
		is.True(defaultHitRate > hitRate(run(t, func(c *replay.Config) { c.Policy = name })))
	}
}

func TestCrashAndRestartLoseNoRequest(t *testing.T) {
	is := is.New(t)
	withoutFaults := run(t, func(*replay.Config) {})
	withFaults := run(t, func(c *replay.Config) { c.CrashAt, c.RestartAt = 4*time.Second, 6*time.Second })
	is.Equal(len(withFaults.Samples), len(withoutFaults.Samples))
	is.True(withFaults.Attempts > withoutFaults.Attempts) // requests lost in the crash were retried
}
