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
	is.Equal(apply(5, change("contract/b", 0, contract("a", 2))).Outcome, conf.Invalid) // the account does not match the document name
	is.Equal(apply(6, change("nonsense", 0, "x")).Outcome, conf.Invalid)
	is.Equal(apply(7, change("fleet", 1, "models: []\n")).Outcome, conf.Invalid) // a contract uses the model
	other := strings.Replace(contract("b", 1), fleet.HashKey("b"), fleet.HashKey("a"), 1)
	is.Equal(apply(8, change("contract/b", 0, other)).Outcome, conf.Invalid)         // the key belongs to another account
	is.True(s.Apply(record(t, 8, change("contract/a", 4, contract("a", 9)))) == nil) // offset 8 was applied before
	c, ok := s.View().Authenticate("a")
	is.True(ok)
	is.Equal(c.Weight, 2.0)
	is.Equal(apply(9, conf.Record{Kind: conf.KindChange, Change: &conf.Change{Document: "contract/a", Base: 4, Remove: true}}).Outcome, conf.Accepted)
	_, ok = s.View().Authenticate("a")
	is.True(!ok)
}

// TestSnapshotAndCheckpointGiveSameState applies random streams of changes. It checks that of several changes
// based on one version at most one is accepted, and that starting from a snapshot
// or a checkpoint leads to the same state as applying the whole stream.
func TestSnapshotAndCheckpointGiveSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, assembler := conf.New(), conf.NewAssembler()
		full.Apply(record(t, 1, change("fleet", 0, fleetText)))
		var fromCheckpoint, fromSnapshot *conf.State
		accepted := make(map[string]bool)
		n := rapid.IntRange(5, 40).Draw(t, "records")
		first := rapid.IntRange(2, 4).Draw(t, "first retained")
		for offset := 2; offset < n; offset++ {
			rec := drawRecord(t, full, offset)
			before := versions(full)
			v := full.Apply(rec)
			if v != nil && v.Outcome == conf.Accepted {
				key := fmt.Sprint(v.Document, before[v.Document])
				if accepted[key] {
					t.Fatalf("two changes of %s based on version %d were accepted", v.Document, before[v.Document])
				}
				accepted[key] = true
			}
			if offset >= first && fromCheckpoint == nil {
				fromCheckpoint, _ = assembler.Add(rec)
			} else if fromCheckpoint != nil {
				fromCheckpoint.Apply(rec)
			}
			if fromSnapshot != nil {
				fromSnapshot.Apply(rec)
			} else if offset == n/2 {
				fromSnapshot = conf.New()
				if _, err := fromSnapshot.Restore(full.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
		}
		checkEqual(t, "checkpoint", full, fromCheckpoint)
		checkEqual(t, "snapshot", full, fromSnapshot)
	})
}

func drawRecord(t *rapid.T, s *conf.State, offset int) stream.Record {
	if rapid.IntRange(0, 4).Draw(t, "checkpoint") == 0 {
		// The checkpoint covers the records before its own offset.
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

func checkEqual(t *rapid.T, source string, want, got *conf.State) {
	if got == nil {
		return
	}
	if fmt.Sprint(want.Documents(), want.Offset()) != fmt.Sprint(got.Documents(), got.Offset()) {
		t.Fatalf("state from %s is %v at offset %d, want %v at offset %d", source, got.Documents(), got.Offset(), want.Documents(), want.Offset())
	}
}

func TestRestoreNeverReverts(t *testing.T) {
	is := is.New(t)
	s := conf.New()
	s.Apply(record(t, 1, change("fleet", 0, fleetText)))
	old := s.Snapshot()
	s.Apply(record(t, 2, change("contract/a", 0, contract("a", 1))))
	restored, err := s.Restore(old)
	is.NoErr(err)
	is.True(!restored)
	is.Equal(s.Offset(), uint64(2))
	_, err = s.Restore(conf.Snapshot{Offset: 9, Documents: []conf.Document{{Name: "contract/a", Text: "broken"}}})
	is.True(err != nil)
	is.Equal(s.Offset(), uint64(2)) // an invalid snapshot does not change the state
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
