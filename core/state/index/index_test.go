package index_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/state/index"
	"cicadastand.dev/core/state/prefix"
)

var (
	start = time.Unix(1000, 0)
	chain = keys(3)
)

func keys(n int) []prefix.Key {
	out := make([]prefix.Key, n)
	for i := range out {
		out[i][0], out[i][1] = byte(i), byte(i>>8)
	}
	return out
}

func expected(x *index.Index, at time.Time) float64 {
	return x.ExpectedPieces(chain, []string{"e"}, at)[0]
}

func TestExpectedPieces(t *testing.T) {
	is := is.New(t)
	x := index.New(index.DefaultConfig())
	x.Confirm("e", "one", chain, start)
	is.Equal(expected(x, start), 3.0)
	is.True(expected(x, start.Add(18*time.Second)) < 3) // the confidence has decreased
	is.Equal(expected(x, start.Add(time.Minute)), 0.0)
	x.Evict("e", "one", chain[1])
	is.Equal(expected(x, start), 1.0) // pieces after a missing one can't be used
	x.SetIncarnation("e", "two")
	is.Equal(expected(x, start), 0.0)
	x.Confirm("e", "one", chain, start) // a late report of the previous incarnation
	is.Equal(expected(x, start), 0.0)
}

func TestLifetimeFollowsObservations(t *testing.T) {
	is := is.New(t)
	x := index.New(index.DefaultConfig())
	x.Confirm("e", "one", chain, start)
	for range 20 {
		x.Observe("e", chain, 0, start.Add(5*time.Second)) // evicted after 5 s
	}
	is.True(x.Lifetime("e") < 6*time.Second)
	x.Observe("e", chain, 3, start.Add(30*time.Second)) // still cached after 30 s
	is.Equal(x.Lifetime("e"), 30*time.Second)
}

func TestSizeIsBounded(t *testing.T) {
	is := is.New(t)
	cfg := index.DefaultConfig()
	cfg.MaxKeys = 10
	x := index.New(cfg)
	for i := range 100 {
		x.Confirm("e", "one", []prefix.Key{{byte(i), 1}}, start)
	}
	is.Equal(x.Len(), 10)
	is.Equal(x.ExpectedPieces([]prefix.Key{{99, 1}}, []string{"e"}, start)[0], 1.0)
	is.Equal(x.ExpectedPieces([]prefix.Key{{0, 1}}, []string{"e"}, start)[0], 0.0) // the oldest was evicted first
}

func BenchmarkConfirm(b *testing.B) {
	x := index.New(index.DefaultConfig())
	all := keys(50_000)
	i := 0
	for b.Loop() {
		x.Confirm("engine-1", "one", all[i%len(all):i%len(all)+1], start)
		i++
	}
}

func BenchmarkExpectedPieces(b *testing.B) {
	x := index.New(index.DefaultConfig())
	names := make([]string, 185)
	for i := range names {
		names[i] = fmt.Sprintf("engine-%d", i)
	}
	all := keys(20)
	for _, n := range names[:8] {
		x.Confirm(n, "one", all, start)
	}
	for b.Loop() {
		x.ExpectedPieces(all, names, start)
	}
}

// TestExpectedPiecesDoNotShortenLifetime guards against taking an expected piece
// that is not computed yet for one that was evicted at once, which reduced the
// lifetime to its minimum.
func TestExpectedPiecesDoNotShortenLifetime(t *testing.T) {
	is := is.New(t)
	x := index.New(index.DefaultConfig())
	x.Expect("e", chain, start)
	is.Equal(expected(x, start), 3.0)
	x.Observe("e", chain, 0, start.Add(time.Millisecond))
	is.Equal(x.Lifetime("e"), index.DefaultConfig().Lifetime)
}
