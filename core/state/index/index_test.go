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

func held(x *index.Index, at time.Time) float64 { return x.ExpectedPieces(chain, []string{"e"}, at)[0] }

func TestEvidenceFadesAndDies(t *testing.T) {
	is := is.New(t)
	x := index.New(index.DefaultConfig())
	x.Confirm("e", "one", chain, start)
	is.Equal(held(x, start), 3.0)
	is.True(held(x, start.Add(18*time.Second)) < 3) // belief fades
	is.Equal(held(x, start.Add(time.Minute)), 0.0)
	x.Evict("e", "one", chain[1])
	is.Equal(held(x, start), 1.0) // what follows a missing piece is of no use
	x.SetIncarnation("e", "two")
	is.Equal(held(x, start), 0.0)
	x.Confirm("e", "one", chain, start) // late, from the dead incarnation
	is.Equal(held(x, start), 0.0)
}

func TestLifeIsLearnt(t *testing.T) {
	is := is.New(t)
	x := index.New(index.DefaultConfig())
	x.Confirm("e", "one", chain, start)
	for range 20 {
		x.Observe("e", chain, 0, start.Add(5*time.Second)) // gone after 5 s
	}
	is.True(x.Lifetime("e") < 6*time.Second)
	x.Observe("e", chain, 3, start.Add(30*time.Second)) // still there after 30 s
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
	is.Equal(x.ExpectedPieces([]prefix.Key{{0, 1}}, []string{"e"}, start)[0], 0.0) // the oldest went first
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

func BenchmarkHeld(b *testing.B) {
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

// TestExpectationTeachesNothing covers a fault that made lives collapse: a piece
// that a request was about to bring was taken for one that was lost at once.
func TestExpectationTeachesNothing(t *testing.T) {
	is := is.New(t)
	x := index.New(index.DefaultConfig())
	x.Expect("e", chain, start)
	is.Equal(held(x, start), 3.0)
	x.Observe("e", chain, 0, start.Add(time.Millisecond))
	is.Equal(x.Lifetime("e"), index.DefaultConfig().Lifetime)
}
