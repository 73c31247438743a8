package place_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/place"
)

const capacity = 200_000

// holding returns an engine with a number of running requests that hold tokens each.
func holding(id string, slots, requests, tokens int) place.Engine {
	return place.Engine{ID: id, Slots: slots, PrefillRate: 100_000, Capacity: capacity, Work: load.Work{Running: requests, Memory: requests * tokens}}
}

// decide returns a hub's decision on a prompt without a shared prefix.
func decide(tokens int, list ...place.Engine) (place.Engine, place.Decision) {
	p := place.Prompt{Tokens: tokens, Key: "k"}
	q := place.NewQuery(p, list)
	work := make([]load.Work, len(q.Candidates))
	for i, c := range q.Candidates {
		work[i] = list[c.Index].Work
	}
	d := place.Decide(q, work)
	return list[q.Candidates[d.Position].Index], d
}

func TestRequestsGoWhereTheyFit(t *testing.T) {
	is := is.New(t)
	full, room := holding("full", 16, 9, 20_000), holding("room", 16, 12, 10_000)
	room.Work.Tokens[0] = 15_000 // a wait of 150 ms
	got, d := decide(30_000, full, room)
	is.Equal(got.ID, "room")
	is.Equal(d.Lacking, 0)
	got, d = decide(2000, full, room)
	is.Equal(got.ID, "full") // a short prompt costs little there
	is.True(d.Lacking > 0 && place.IsSmall(2000, got))
	room.Work.Memory = 180_000
	_, d = decide(30_000, full, room)
	is.Equal(d.Lacking, 30_000)
	is.True(!place.IsTight(d.Lacking, capacity) && place.IsTight(20_000, capacity))
	_, d = decide(250_000, holding("empty", 16, 0, 0))
	is.Equal(d.Lacking, 0) // no other engine has more room
}

// Of a hub's candidates and a host's sample, all may be full while other engines have room.
func TestEnginesWithRoomAreConsideredFirst(t *testing.T) {
	is := is.New(t)
	var list []place.Engine
	for i := range 30 {
		list = append(list, holding(string(rune('A'+i)), 16, 9, 21_000))
	}
	list[17].Work.Memory = 50_000
	got, _ := decide(30_000, list...)
	is.Equal(got.ID, list[17].ID)
	is.Equal(place.Choose(place.Prompt{Tokens: 30_000, Key: "k"}, list, 3).Index, 17)
}

// Long prompts filled all slots, and each short one that was more urgent had one of them
// preempted, whose prompt was computed again.
func TestLastSlotsAreLeftToSmallRequests(t *testing.T) {
	is := is.New(t)
	_, d := decide(12_000, holding("e", 16, 13, 9_000))
	is.Equal(d.Lacking, 0)
	_, d = decide(12_000, holding("e", 16, 14, 9_000))
	is.Equal(d.Lacking, 12_000)
	is.True(place.IsSmall(2_400, place.Engine{Slots: 16, Capacity: capacity}))
	is.True(!place.IsSmall(12_000, place.Engine{Slots: 16, Capacity: capacity}))
}

// Of many requests at an engine only as many as it has slots hold memory. If all counted, a queue
// of small ones would keep a request away from an engine that has room.
func TestWaitingRequestsHoldNoMemory(t *testing.T) {
	is := is.New(t)
	_, full := decide(1_000, holding("e", 16, 16, 9_000))
	_, queued := decide(1_000, holding("e", 16, 32, 9_000))
	is.Equal(full.Lacking, queued.Lacking)
}

// Peers of the previous release send no memory.
func TestRequestsOfUnknownSizeCountWithTheMean(t *testing.T) {
	is := is.New(t)
	old := holding("old", 16, 9, 0)
	old.Work.Unsized = 9
	_, d := decide(30_000, old, holding("new", 16, 10, 18_000))
	is.Equal(d.Lacking, 12_000) // nine of 18,000 and the request, beyond 90% of the capacity
	_, d = decide(30_000, old)
	is.Equal(d.Lacking, 120_000) // taken as large as the request
}

// Where the requests of all slots fit together, memory must not change any placement until the
// last slots are taken.
func TestMemoryHasNoEffectWhereSlotsBind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 64
		var with, without []place.Engine
		for _, id := range []string{"a", "b", "c", "d"} {
			e := holding(id, slots, rapid.IntRange(30, 55).Draw(t, "running"), rapid.IntRange(2500, capacity/slots).Draw(t, "tokens"))
			with = append(with, e)
			e.Capacity = 0
			without = append(without, e)
		}
		p := place.Prompt{Tokens: rapid.IntRange(1, capacity/slots).Draw(t, "prompt"), Key: "k"}
		got, want := place.Choose(p, with, 4), place.Choose(p, without, 4)
		if got != want {
			t.Fatalf("choice is %+v instead of %+v", got, want)
		}
	})
}
