package mirror_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

func config(t *rapid.T, version int64) *site.Config {
	c, err := site.New(site.Spec{Version: version, Routes: []*site.Route{{Host: "a", PathPrefix: "/"}}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestVersionsAndReadTimesNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := mirror.New()
		version, readAt, weights := int64(0), time.Duration(-1), 0
		for range 20 {
			v := rapid.Int64Range(1, 30).Draw(t, "version")
			at := time.Duration(rapid.Int64Range(0, 1000).Draw(t, "read time"))
			w := rapid.IntRange(1, 9).Draw(t, "weights")
			if m.SetConfig(config(t, v)) != (v > version) {
				t.Fatalf("SetConfig returned the wrong result for version %d after %d", v, version)
			}
			m.MarkConfigCurrent(at)
			m.SetWeights("m", w, at)
			version, readAt, weights = max(version, v), max(readAt, at), max(weights, w)
			age, ok := m.ConfigAge(1000)
			if !ok || age != 1000-readAt || m.View().Config.Version != version || m.View().NewestWeights("m") != weights {
				t.Fatalf("got age %v, version %d, weights version %d", age, m.View().Config.Version, m.View().NewestWeights("m"))
			}
		}
	})
}

func TestNoConfigAgeBeforeFirstConfig(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	m.MarkConfigCurrent(5)
	_, ok := m.ConfigAge(10)
	is.True(!ok) // there is no configuration that the read could have confirmed
}

func TestReplacedAtReturnsTimeOfNextVersion(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	m.SetWeights("m", 2, 100)
	m.SetWeights("m", 5, 300)
	at, ok := m.View().ReplacedAt("m", 1)
	is.True(ok)
	is.Equal(at, time.Duration(100))
	at, _ = m.View().ReplacedAt("m", 2)
	is.Equal(at, time.Duration(300))
	_, ok = m.View().ReplacedAt("m", 5)
	is.True(!ok)
}

func TestYoungestIncarnationAtAddressIsUsed(t *testing.T) {
	is := is.New(t)
	address := netip.MustParseAddrPort("10.0.0.1:80")
	m := mirror.New()
	m.SetEndpoints(map[string]*site.Endpoint{
		"old":  {ID: "old", Service: "s", Address: address, Started: time.UnixMilli(1)},
		"new":  {ID: "new", Service: "s", Address: address, Started: time.UnixMilli(2)},
		"left": {ID: "left", Service: "s", Address: netip.MustParseAddrPort("10.0.0.2:80"), Draining: true},
	})
	list := m.View().ByService["s"]
	is.Equal(len(list), 1)
	is.Equal(list[0].ID, "new")
}

func TestFingerprintDependsOnContent(t *testing.T) {
	is := is.New(t)
	e := site.Endpoint{ID: "e", Weights: map[string]int{"a": 1, "b": 2}}
	changed := e
	changed.Weights = map[string]int{"a": 1, "b": 3}
	one := mirror.Fingerprint(map[string]*site.Endpoint{"e": &e})
	is.Equal(one, mirror.Fingerprint(map[string]*site.Endpoint{"e": &e}))
	is.True(one != mirror.Fingerprint(map[string]*site.Endpoint{"e": &changed}))
}

func TestEarliestTimeOfAVersionIsKept(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	is.True(m.SetWeights("m", 2, 900))
	before := m.View()
	is.True(!m.SetWeights("m", 2, 400)) // a peer has learnt of it earlier
	is.True(!m.SetWeights("m", 2, 600))
	at, ok := m.View().ReplacedAt("m", 1)
	is.True(ok)
	is.Equal(at, time.Duration(400))
	at, _ = before.ReplacedAt("m", 1)
	is.Equal(at, time.Duration(900)) // a view does not change
}

// A host that wakes may read the newest version first, and learn of the ones before from others.
func TestAgeOfASkippedVersionIsKept(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	m.SetWeights("m", 1, 0)
	m.SetWeights("m", 3, 4000)
	is.True(!m.SetWeights("m", 2, 100))
	is.Equal(m.View().NewestWeights("m"), 3)
	at, _ := m.View().ReplacedAt("m", 1)
	is.Equal(at, time.Duration(100))
}

func TestAssumedAgeYieldsToAKnownOne(t *testing.T) {
	is := is.New(t)
	m := mirror.New()
	is.True(m.AssumeWeights("m", 2, 100))
	is.True(!m.SetWeights("m", 2, 900)) // later, but known
	at, _ := m.View().ReplacedAt("m", 1)
	is.Equal(at, time.Duration(900))
	m.AssumeWeights("m", 2, 50)
	at, _ = m.View().ReplacedAt("m", 1)
	is.Equal(at, time.Duration(900))
	is.True(!m.View().Weights["m"][0].Assumed)
}
