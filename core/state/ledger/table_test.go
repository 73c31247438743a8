package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cicadastand.dev/core/state/ledger"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func claim(attempt, digest string, created time.Time) ledger.Record {
	return ledger.Record{Kind: ledger.KindClaim, ID: ledger.ID{Key: "k"}, Attempt: attempt, Digest: digest, Created: created}
}

func TestFirstClaimWins(t *testing.T) {
	is := is.New(t)
	table := ledger.New(ledger.DefaultConfig())
	is.Equal(table.Apply(1, epoch, claim("a", "d", epoch)), ledger.Won)
	is.Equal(table.Apply(2, epoch, claim("b", "d", epoch)), ledger.Held)
	is.Equal(table.Apply(3, epoch, claim("a", "d", epoch)), ledger.Won)      // a duplicate record changes nothing
	is.Equal(table.Apply(4, epoch, claim("c", "x", epoch)), ledger.Conflict) // a different digest
	is.Equal(table.Apply(5, epoch, claim("c", "d", epoch.Add(1))), ledger.Conflict)
	e, ok := table.Get(ledger.ID{Key: "k"})
	is.True(ok)
	is.Equal(e.FencingToken, uint64(1))
}

func TestReleasePreventsLateClaim(t *testing.T) {
	is := is.New(t)
	table := ledger.New(ledger.DefaultConfig())
	release := ledger.Record{Kind: ledger.KindRelease, ID: ledger.ID{Key: "k"}, Attempt: "a", Created: epoch}
	table.Apply(1, epoch, release)
	is.Equal(table.Apply(2, epoch, claim("a", "d", epoch)), ledger.Withdrawn)
	is.Equal(table.Apply(3, epoch, claim("b", "d", epoch)), ledger.Won)
	is.Equal(table.Apply(4, epoch, claim("a", "d", epoch)), ledger.Withdrawn)
}

func TestKeysExpire(t *testing.T) {
	is := is.New(t)
	table := ledger.New(ledger.Config{Window: time.Hour, Skew: time.Minute})
	is.Equal(table.Apply(1, epoch, claim("a", "d", epoch)), ledger.Won)
	late := epoch.Add(2 * time.Hour)
	is.Equal(table.Apply(2, late, claim("b", "d", epoch)), ledger.Expired)
	is.Equal(table.Len(), 0)
	is.Equal(table.Apply(3, late, claim("b", "d", late.Add(2*time.Minute))), ledger.Expired) // created in the future
}

// TestClaimProtocol applies records in random order and checks that at any time at
// most one attempt has won without releasing its claim.
func TestClaimProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &protocol{table: ledger.New(ledger.DefaultConfig()), replica: ledger.New(ledger.DefaultConfig()), released: make(map[string]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"claim":   m.claim,
			"release": m.release,
			"outcome": m.outcome,
			"":        m.check,
		})
	})
}

// protocol is the model that the table is compared with: which attempt may send,
// whether the outcome is recorded, and which attempts have released. Each record
// goes to two tables, which must agree.
type protocol struct {
	table, replica *ledger.Table
	offset         uint64
	holder         string
	done           bool
	released       map[string]bool
}

func (m *protocol) attempt(t *rapid.T) string {
	return fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "attempt"))
}

func (m *protocol) apply(t *rapid.T, r ledger.Record) ledger.Verdict {
	m.offset++
	v := m.table.Apply(m.offset, epoch, r)
	if w := m.replica.Apply(m.offset, epoch, r); v != w {
		t.Fatalf("two tables disagree on a record: %s and %s", v, w)
	}
	return v
}

func (m *protocol) claim(t *rapid.T) {
	attempt := m.attempt(t)
	v := m.apply(t, claim(attempt, "d", epoch))
	won := v == ledger.Won
	switch {
	case m.released[attempt] && v != ledger.Withdrawn:
		t.Fatalf("released attempt got %s, want withdrawn", v)
	case won && m.holder != "" && m.holder != attempt:
		t.Fatalf("attempt %s won while attempt %s holds the key", attempt, m.holder)
	case won && m.done:
		t.Fatalf("attempt %s won after the outcome was recorded", attempt)
	case !won && !m.released[attempt] && m.holder == "" && !m.done:
		t.Fatalf("attempt %s got %s although no attempt holds the key", attempt, v)
	}
	if won {
		m.holder = attempt
	}
}

func (m *protocol) release(t *rapid.T) {
	attempt := m.attempt(t)
	m.apply(t, ledger.Record{Kind: ledger.KindRelease, ID: ledger.ID{Key: "k"}, Attempt: attempt, Created: epoch})
	m.released[attempt] = true
	if m.holder == attempt && !m.done {
		m.holder = ""
	}
}

func (m *protocol) outcome(t *rapid.T) {
	if m.holder == "" {
		t.Skip("no attempt has won") // there is no outcome to record in this state
	}
	m.apply(t, ledger.Record{Kind: ledger.KindOutcome, ID: ledger.ID{Key: "k"}, Attempt: m.holder, Outcome: &ledger.Outcome{Status: 201}})
	m.done = true
}

func (m *protocol) check(t *rapid.T) {
	e, ok := m.table.Get(ledger.ID{Key: "k"})
	if !ok {
		return
	}
	if (e.Phase == ledger.PhaseDone) != m.done {
		t.Fatalf("phase is %s, but outcome recorded is %v", e.Phase, m.done)
	}
	if e.Phase == ledger.PhaseHeld && e.Attempt != m.holder {
		t.Fatalf("key is held by attempt %s, want %s", e.Attempt, m.holder)
	}
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add([]byte(`[{"kind":"claim","id":{"key":"k"},"attempt":"a"}]`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		records, err := ledger.DecodeBatch(data)
		if err != nil {
			return
		}
		table := ledger.New(ledger.DefaultConfig())
		for i, r := range records {
			table.Apply(uint64(i+1), epoch, r)
		}
	})
}
