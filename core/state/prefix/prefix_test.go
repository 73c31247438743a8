package prefix_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cicadastand.dev/core/state/prefix"
)

// TestDifferentScopesShareNoKeys checks that the same prompt has the same keys in equal scopes
// and no key in common in different ones.
func TestDifferentScopesShareNoKeys(t *testing.T) {
	name := rapid.StringMatching(`[ab]{0,2}`)
	scope := rapid.Custom(func(t *rapid.T) prefix.Scope {
		return prefix.Scope{Account: name.Draw(t, "account"), Model: name.Draw(t, "model"), Adapter: name.Draw(t, "adapter"), WeightsVersion: name.Draw(t, "version")}
	})
	prompt := strings.Repeat("x", 2*prefix.PieceBytes)
	rapid.Check(t, func(t *rapid.T) {
		a, b := scope.Draw(t, "a"), scope.Draw(t, "b")
		ka, kb := prefix.Chain(a, prompt), prefix.Chain(b, prompt)
		if (a == b) != (ka[0] == kb[0]) || (a == b) != (ka[1] == kb[1]) || ka[0] == ka[1] {
			t.Fatalf("scopes %v and %v have keys %v and %v", a, b, ka, kb)
		}
	})
}

func TestKeyDependsOnWholePrefix(t *testing.T) {
	is := is.New(t)
	first, second := strings.Repeat("a", prefix.PieceBytes), strings.Repeat("b", prefix.PieceBytes)
	long := prefix.Chain(prefix.Scope{}, first+second+"rest")
	is.Equal(len(long), 2) // the incomplete last piece has no key
	is.Equal(prefix.Chain(prefix.Scope{}, first)[0], long[0])
	is.True(prefix.Chain(prefix.Scope{}, second)[0] != long[1])
	parsed, err := prefix.ParseKey(long[0].String())
	is.NoErr(err)
	is.Equal(parsed, long[0])
}

func BenchmarkChain(b *testing.B) {
	prompt := strings.Repeat("catalogue ", 10_000)
	b.SetBytes(int64(len(prompt)))
	for b.Loop() {
		prefix.Chain(prefix.Scope{Account: "a", Model: "m"}, prompt)
	}
}
