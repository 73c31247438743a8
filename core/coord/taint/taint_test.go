package taint_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"cicadastand.dev/core/coord/taint"
)

const retention = 10 * time.Minute

// maxMessage is more than the number of pairs in a test.
const maxMessage = 1 << 16

// host is a table whose changes are recorded.
type host struct {
	*taint.Table
	changes []taint.Change
}

func newHost() *host {
	h := &host{}
	h.Table = taint.New(taint.Config{Retention: retention, Report: h.report})
	return h
}

// crash records a crash of an endpoint some time after the first event of an answer; 0 for none.
func (h *host) crash(endpoint string, parts []string, ran, now time.Duration) {
	h.RecordCrash(taint.Crash{Endpoint: endpoint, Parts: parts, At: now, Ran: ran}, now)
}

func (h *host) report(c taint.Change) { h.changes = append(h.changes, c) }

func (h *host) rejects(part string) bool { return h.Check([]string{part}) != nil }

func at(ms int) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }

// One document crashes engines, others share its system prompt and its account: only the
// document is rejected, at the third crash.
func TestOnlyThePartThatCrashesIsRejected(t *testing.T) {
	is := is.New(t)
	h := newHost()
	const gap = 5000 // ms; the crashes are so far apart that no part counts as in use
	for n := range 3 {
		is.True(!h.rejects("document"))
		h.crash(fmt.Sprint("e", n), []string{"system", "document"}, 0, at(n*gap))
	}
	err := h.Check([]string{"system", "document"})
	is.Equal(err.Error(), "part document of the prompt crashed 3 engines")
	is.True(!h.rejects("system"))
	is.NoErr(h.Check([]string{"system", "other"}))
	is.Equal(len(h.changes), 1)
	is.Equal(h.changes[0].Endpoints, []string{"e0", "e1", "e2"})

	h.RecordWhole([]string{"system", "other"}, at(4*gap))
	is.True(h.rejects("document"))
	for n := range 5 { // requests that were on their way
		h.crash(fmt.Sprint("late", n), []string{"system", "document"}, 0, at(5*gap+n))
	}
	is.True(!h.rejects("system"))
}

// Other documents in flight at the crashes are not rejected with the one that crashes.
func TestPartsInFlightAtSomeOfTheCrashesAreNotRejected(t *testing.T) {
	is := is.New(t)
	h := newHost()
	for n := range 4 {
		endpoint := fmt.Sprint("e", n)
		if n > 0 {
			h.crash(endpoint, []string{"system", "neighbour"}, 0, at(n*5000))
		}
		h.crash(endpoint, []string{"system", "document"}, 0, at(n*5000))
	}
	is.True(h.rejects("document"))
	is.True(!h.rejects("neighbour")) // it was in flight at three of the four
	is.True(!h.rejects("system"))
}

// Many engines crash together with many requests in flight, for a reason of their own. The
// system prompt is in use, and each document is at few engines: nothing is rejected, also
// while the repeats have no event yet.
func TestWaveOfCrashesRejectsNothing(t *testing.T) {
	is := is.New(t)
	h := newHost()
	h.RecordWhole([]string{"system", "document-0"}, at(0))
	for n := range 40 {
		for r := range 8 {
			h.crash(fmt.Sprint("e", n), []string{"system", fmt.Sprint("document-", (n*8+r)/2)}, 0, at(500+n))
		}
	}
	is.NoErr(h.Check([]string{"system"}))
	for r := range 160 {
		is.NoErr(h.Check([]string{"system", fmt.Sprint("document-", r)}))
		h.RecordWhole([]string{"system", fmt.Sprint("document-", r)}, at(900+r))
	}
	is.Equal(len(h.changes), 0)
}

// A part that is rejected because it was in flight in a wave is cleared by the whole answer to
// one of its requests.
func TestWholeAnswerClearsARejectedPart(t *testing.T) {
	is := is.New(t)
	h := newHost()
	for n := range 3 {
		h.crash(fmt.Sprint("e", n), []string{"system"}, 0, at(n))
	}
	is.True(h.rejects("system"))
	h.RecordWhole([]string{"system"}, at(600))
	is.True(!h.rejects("system"))
	is.Equal(len(h.changes), 2)
	is.True(!h.changes[1].Rejected)
}

// Three hosts see one crash each, within a few milliseconds. Whatever the order of their
// messages, all reject the document, and none rejects the system prompt at any time.
func TestCrashesSeenByThreeHostsMergeInAnyOrder(t *testing.T) {
	var messages [][]taint.Pair
	for n := range 3 {
		h := newHost()
		h.crash(fmt.Sprint("e", n), []string{"system", "document"}, 0, at(n))
		messages = append(messages, h.Pairs(maxMessage, at(n)))
	}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			is := is.New(t)
			h := newHost()
			for i, n := range append(order, order...) { // each comes twice, as hubs relay them
				h.Merge(messages[n], at(10+i))
				is.True(!h.rejects("system"))
			}
			is.True(h.rejects("document"))
			is.True(h.changes[0].FromPeer)
			is.Equal(len(h.changes), 1)
		})
	}
}

// Dismissed wins over suspected in any order of messages, and a host that lacks the
// dismissal is told again.
func TestDismissedWins(t *testing.T) {
	suspected := newHost()
	for n := range 3 {
		suspected.crash(fmt.Sprint("e", n), []string{"system"}, 0, at(n))
	}
	dismissing := newHost()
	dismissing.Merge(suspected.Pairs(maxMessage, at(10)), at(10))
	dismissing.RecordWhole([]string{"system"}, at(20))
	suspects, dismissals := suspected.Pairs(maxMessage, at(30)), dismissing.Pairs(maxMessage, at(30))
	for name, messages := range map[string][][]taint.Pair{
		"suspected first": {suspects, dismissals},
		"dismissed first": {dismissals, suspects},
		"repeated":        {suspects, dismissals, suspects, dismissals, suspects},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHost()
			for _, m := range messages {
				h.Merge(m, at(40))
			}
			is.True(!h.rejects("system"))
		})
	}
	is := is.New(t)
	const later = 5000 // ms; nothing is new
	is.Equal(len(dismissing.Pairs(maxMessage, at(later))), 0)
	is.True(suspected.rejects("system"))
	dismissing.Merge(suspects, at(later))
	suspected.Merge(dismissing.Pairs(maxMessage, at(later)), at(later))
	is.True(!suspected.rejects("system"))
}

// While nothing happens, nothing is sent but the pairs of rejected parts, now and then: a
// host that starts later rejects them too.
func TestMessagesAreEmptyWhileNothingHappens(t *testing.T) {
	is := is.New(t)
	h := newHost()
	for n := range 3 {
		h.crash(fmt.Sprint("e", n), []string{"system", "document"}, 0, at(n))
	}
	h.crash("e9", []string{"system", "once"}, 0, at(9))
	restarted := newHost()
	sent := 0
	const interval, span = 60, 60_000 // ms
	for ms := 2000; ms < span; ms += interval {
		pairs := h.Pairs(maxMessage, at(ms))
		is.True(!slices.ContainsFunc(pairs, func(p taint.Pair) bool { return p.Part != "document" }))
		restarted.Merge(pairs, at(ms))
		sent += lo.Ternary(len(pairs) > 0, 1, 0)
	}
	is.True(restarted.rejects("document"))
	is.True(sent < span/interval/10)
	is.Equal(len(h.Pairs(2, at(20))), 2)
}

// Evidence is kept for its retention and within bounds.
func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	h := newHost()
	for n := range 3 {
		h.crash(fmt.Sprint("e", n), []string{"document"}, 0, at(n))
	}
	h.Sweep(at(0) + retention)
	is.True(h.rejects("document"))
	h.Sweep(at(100) + retention)
	is.True(!h.rejects("document"))
	const crashes, bound = 10_000, 4096
	for n := range crashes {
		h.crash(fmt.Sprint("e", n), []string{fmt.Sprint("p", n)}, 0, at(n)/1000)
	}
	is.True(len(h.Pairs(maxMessage, at(crashes)/1000)) <= bound)
}
