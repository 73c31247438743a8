package conf_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/stream"
)

const fleetText = "models: [{name: advice, weights-version: v1}]\n"

func contract(account string, weight int) string {
	return fmt.Sprintf("account: %s\nkey-hashes: [%s]\nweight: %d\nmodels: [advice]\n", account, fleet.HashKey(account), weight)
}

func record(t interface{ Fatal(...any) }, offset uint64, r conf.Record) stream.Record {
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return stream.Record{Offset: offset, Time: time.Unix(int64(offset), 0).UTC(), Data: data}
}

func change(document string, base uint64, text string) conf.Record {
	return conf.Record{Kind: conf.KindChange, ID: "x", Change: &conf.Change{Document: document, Base: base, Text: text}}
}

func TestVerdicts(t *testing.T) {
	is := is.New(t)
	s := conf.New()
	apply := func(offset uint64, r conf.Record) conf.Verdict { return *s.Apply(record(t, offset, r)) }
	is.Equal(apply(1, change("fleet", 0, fleetText)).Outcome, conf.Accepted)
	is.Equal(apply(2, change("contract/a", 0, contract("a", 1))).Outcome, conf.Accepted)
	is.Equal(apply(3, change("contract/a", 0, contract("a", 2))).Outcome, conf.Stale)
	is.Equal(apply(4, change("contract/a", 2, contract("a", 2))).Outcome, conf.Accepted)
	is.Equal(apply(5, change("contract/b", 0, contract("a", 2))).Outcome, conf.Invalid) // named otherwise
	is.Equal(apply(6, change("nonsense", 0, "x")).Outcome, conf.Invalid)
	is.Equal(apply(7, change("fleet", 1, "models: []\n")).Outcome, conf.Invalid) // a contract uses the model
	other := strings.Replace(contract("b", 1), fleet.HashKey("b"), fleet.HashKey("a"), 1)
	is.Equal(apply(8, change("contract/b", 0, other)).Outcome, conf.Invalid) // the key is taken
	is.True(s.Apply(record(t, 8, change("contract/a", 4, contract("a", 9)))) == nil)
	c, ok := s.View().Authenticate("a")
	is.True(ok)
	is.Equal(c.Weight, 2.0)
	is.Equal(apply(9, conf.Record{Kind: conf.KindChange, Change: &conf.Change{Document: "contract/a", Base: 4, Remove: true}}).Outcome, conf.Accepted)
	_, ok = s.View().Authenticate("a")
	is.True(!ok)
}

// TestFold checks on any stream of changes that of several changes from one
// version one wins, that versions only grow, and that a snapshot or a checkpoint
// taken anywhere leads to the same state as the whole stream.
func TestFold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, late := conf.New(), conf.NewAssembler()
		whole.Apply(record(t, 1, change("fleet", 0, fleetText)))
		var fromCheckpoint, fromSnapshot *conf.State
		won := make(map[string]bool)
		n := rapid.IntRange(5, 40).Draw(t, "records")
		cut := rapid.IntRange(2, 4).Draw(t, "first kept")
		for offset := 2; offset < n; offset++ {
			rec := draw(t, whole, offset)
			before := versions(whole)
			v := whole.Apply(rec)
			if v != nil && v.Outcome == conf.Accepted {
				key := fmt.Sprint(v.Document, before[v.Document])
				if won[key] {
					t.Fatalf("two changes of %s from version %d won", v.Document, before[v.Document])
				}
				won[key] = true
			}
			if offset >= cut && fromCheckpoint == nil {
				fromCheckpoint, _ = late.Add(rec)
			} else if fromCheckpoint != nil {
				fromCheckpoint.Apply(rec)
			}
			if fromSnapshot != nil {
				fromSnapshot.Apply(rec)
			} else if offset == n/2 {
				fromSnapshot = conf.New()
				if _, err := fromSnapshot.Restore(whole.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
		}
		same(t, "checkpoint", whole, fromCheckpoint)
		same(t, "snapshot", whole, fromSnapshot)
	})
}

func draw(t *rapid.T, s *conf.State, offset int) stream.Record {
	if rapid.IntRange(0, 4).Draw(t, "checkpoint") == 0 {
		// A checkpoint lags behind the record that it follows.
		return record(t, uint64(offset), s.Snapshot().Checkpoints(fmt.Sprint(offset), 100)[0])
	}
	account := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
	name := conf.ContractDocument(account)
	base := uint64(rapid.IntRange(0, offset).Draw(t, "base"))
	if rapid.Bool().Draw(t, "current") {
		base = versions(s)[name]
	}
	return record(t, uint64(offset), change(name, base, contract(account, rapid.IntRange(0, 3).Draw(t, "weight"))))
}

func versions(s *conf.State) map[string]uint64 {
	out := make(map[string]uint64)
	for _, d := range s.Documents() {
		out[d.Name] = d.Version
	}
	return out
}

func same(t *rapid.T, how string, want, got *conf.State) {
	if got == nil {
		return
	}
	if fmt.Sprint(want.Documents(), want.Offset()) != fmt.Sprint(got.Documents(), got.Offset()) {
		t.Fatalf("%s: %v at %d, not %v at %d", how, got.Documents(), got.Offset(), want.Documents(), want.Offset())
	}
}

func TestRestoreNeverReverts(t *testing.T) {
	is := is.New(t)
	s := conf.New()
	s.Apply(record(t, 1, change("fleet", 0, fleetText)))
	old := s.Snapshot()
	s.Apply(record(t, 2, change("contract/a", 0, contract("a", 1))))
	newer, err := s.Restore(old)
	is.NoErr(err)
	is.True(!newer)
	is.Equal(s.Offset(), uint64(2))
	_, err = s.Restore(conf.Snapshot{Offset: 9, Documents: []conf.Document{{Name: "contract/a", Text: "broken"}}})
	is.True(err != nil)
	is.Equal(s.Offset(), uint64(2)) // a broken snapshot changes nothing
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"kind":"change","change":{"document":"fleet","text":"models: []"}}`))
	f.Add([]byte(`{"kind":"checkpoint","checkpoint":{"at":1,"parts":1}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := stream.Record{Offset: 1, Data: data}
		conf.New().Apply(r)
		conf.NewAssembler().Add(r)
	})
}
