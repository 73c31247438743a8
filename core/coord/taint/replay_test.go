package taint_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/taint"
)

const (
	// crashDelay is the time from the arrival of a request at an engine to its crash, or to
	// the first event.
	crashDelay = 150 // ms
	// mergeInterval is the time between messages of hosts.
	mergeInterval = 100 // ms
	// stableWindow is the time after the fifth crash from which on few requests with the
	// part may reach engines, and maxLate how many.
	stableWindow = 3000 // ms
	maxLate      = 3
	soonestFifth = 5
)

// replay plays requests with a part that crashes engines at several hosts, one every
// interval, in simulated time.
type replay struct {
	hosts []*host
	// prompts are the shared parts of the requests that crash engines, in the order in which
	// they come, and sound those of the others.
	prompts, sound [][]string
	// interval is the time between requests that crash, and soundInterval between the others,
	// in ms.
	interval, soundInterval int
	// ran is the time from the first event of an answer to the crash in ms; 0 if the engine
	// crashes before it.
	ran int
	// load is the sound answers in progress; nil if sound requests are answered at once.
	load *load
	// span is how long the replay goes on without requests that crash engines, in ms.
	span int
	// attempts is how often a request is sent.
	attempts int
	// hasSentNext is set if a request is sent again before its first crash is recorded.
	hasSentNext bool

	now     int
	events  []event
	crashes []int
	arrived []int
	// soundRejected counts the sound requests that were rejected.
	soundRejected int
}

// event is something that happens at a host later.
type event struct {
	at  int
	run func()
}

func newReplay(hosts int) *replay {
	r := &replay{attempts: 2, interval: 2000, soundInterval: 200}
	for range hosts {
		r.hosts = append(r.hosts, newHost())
	}
	return r
}

func (r *replay) later(ms int, run func()) {
	r.events = append(r.events, event{at: r.now + ms, run: run})
}

// send sends a request that crashes engines.
func (r *replay) send(h *host, prompt []string, attempt int) {
	if h.Check(prompt) != nil {
		return
	}
	r.arrived = append(r.arrived, r.now)
	if r.ran == 0 {
		r.later(crashDelay, func() { r.crash(h, prompt, nil, attempt) })
		return
	}
	r.later(crashDelay, func() {
		answer := h.Begin(prompt, at(r.now))
		for ms := eventInterval; ms < r.ran; ms += eventInterval {
			r.later(ms, func() { answer.Progress(at(r.now)) })
		}
		r.later(r.ran, func() { r.crash(h, prompt, answer, attempt) })
	})
}

// crash ends an engine after the first event of an answer, or before if answer is nil.
func (r *replay) crash(h *host, prompt []string, answer *taint.Answer, attempt int) {
	r.crashes = append(r.crashes, r.now)
	endpoint := fmt.Sprint("e", len(r.crashes))
	var ran time.Duration
	if answer != nil {
		ran = answer.RanFor(at(r.now))
	}
	if r.hasSentNext && attempt < r.attempts {
		r.send(h, prompt, attempt+1)
	}
	h.crash(endpoint, prompt, ran, at(r.now))
	if r.load != nil {
		r.load.crash(r.load.rnd.IntN(r.load.engines), endpoint)
	}
	if !r.hasSentNext && attempt < r.attempts {
		r.send(h, prompt, attempt+1)
	}
}

// run plays all requests.
func (r *replay) run() {
	const step = 10 // ms
	span := (len(r.prompts) + 1) * r.interval
	for n, i := 0, 0; r.now < max(span, r.span); r.now += step {
		slices.SortStableFunc(r.events, func(a, b event) int { return a.at - b.at })
		for len(r.events) > 0 && r.events[0].at <= r.now {
			due := r.events[0]
			r.events = r.events[1:]
			due.run()
		}
		if r.now%r.interval == 0 && n < len(r.prompts) {
			r.send(r.hosts[n%len(r.hosts)], r.prompts[n], 1)
			n++
		}
		if len(r.sound) > 0 && r.now%r.soundInterval == 0 {
			r.sendSound(r.hosts[i%len(r.hosts)], r.sound[i%len(r.sound)])
			i++
		}
		if r.load != nil {
			r.load.step(r.now)
		}
		if r.now%mergeInterval == 0 {
			r.merge()
		}
	}
}

func (r *replay) sendSound(h *host, prompt []string) {
	switch {
	case h.Check(prompt) != nil:
		r.soundRejected++
	case r.load != nil:
		r.later(crashDelay, func() { r.load.begin(h, prompt) })
	default:
		r.later(crashDelay, func() { h.RecordWhole(prompt, at(r.now)) })
	}
}

func (r *replay) merge() {
	for _, from := range r.hosts {
		pairs := from.Pairs(maxMessage, at(r.now))
		for _, to := range r.hosts {
			if to != from {
				to.Merge(pairs, at(r.now))
			}
		}
	}
}

// late returns how many requests reached engines too late after the fifth crash.
func (r *replay) late() int {
	if len(r.crashes) < soonestFifth {
		return 0
	}
	n := 0
	for _, ms := range r.arrived {
		if ms > r.crashes[soonestFifth-1]+stableWindow {
			n++
		}
	}
	return n
}

// rejectedSound returns the sound prompts that some host rejects.
func (r *replay) rejectedSound() [][]string {
	var out [][]string
	for _, prompt := range r.sound {
		if slices.ContainsFunc(r.hosts, func(h *host) bool { return h.Check(prompt) != nil }) {
			out = append(out, prompt)
		}
	}
	return out
}

// Requests with one part that crashes engines are about one thing after the other, and the
// part of the thing is behind that part. The crashes of each thing must not hide the part that
// they have in common.
func TestCrashingPartIsFoundWhilePartsBehindItChange(t *testing.T) {
	is := is.New(t)
	r := newReplay(6)
	const things, perThing = 248, 2
	for n := range things {
		r.sound = append(r.sound, []string{"system", "rules", fmt.Sprint("thing-", n)})
	}
	for n := range 22 {
		r.prompts = append(r.prompts, []string{"system", "bad", fmt.Sprint("thing-", things/2+5*(n/perThing))})
	}
	r.hasSentNext = true
	r.run()
	t.Logf("%d crashes, %d late", len(r.crashes), r.late())
	is.True(r.late() <= maxLate)
	is.True(r.hosts[0].rejects("bad"))
	is.Equal(len(r.rejectedSound()), 0) // the things are no longer rejected
}

// The part that crashes engines stands at any position, and the others change at any pace.
func TestCrashingPartIsFoundAtEachPosition(t *testing.T) {
	for seed := range uint64(100) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := newReplay(1 + rnd.IntN(8))
		length := 2 + rnd.IntN(3)
		position := rnd.IntN(length)
		perValue := 1 + rnd.IntN(4)
		r.interval = []int{100, 500, 1000, 2000, 4000, 6000}[rnd.IntN(6)]
		r.attempts = 1 + rnd.IntN(2)
		// Each part behind another changes with it, or more often.
		shuffled, moving := rnd.IntN(3) == 0, rnd.IntN(4) == 0
		for n := range 60 {
			prompt := make([]string, length)
			every := 1
			for depth := length - 1; depth >= 0; depth-- {
				if depth == 0 && position > 0 {
					every = 1000 // the system prompt
				}
				prompt[depth] = fmt.Sprintf("p%d-%d", depth, n/perValue/every)
				every *= perValue
			}
			at := position
			if moving {
				at = rnd.IntN(length)
			}
			prompt[at] = "bad"
			r.prompts = append(r.prompts, prompt)
		}
		if shuffled {
			rnd.Shuffle(len(r.prompts), func(i, j int) { r.prompts[i], r.prompts[j] = r.prompts[j], r.prompts[i] })
		}
		if position > 0 && rnd.IntN(2) == 0 {
			for n := range 100 {
				r.sound = append(r.sound, []string{"p0-0", fmt.Sprint("sound-", n)})
			}
		}
		r.run()
		name := fmt.Sprintf("seed %d: %d hosts, part %d of %d, %d a value, each %d ms, shuffled %v, moving %v, %d attempts, sound %v",
			seed, len(r.hosts), position, length, perValue, r.interval, shuffled, moving, r.attempts, len(r.sound) > 0)
		if late := r.late(); late > maxLate {
			t.Errorf("%s: %d crashes, %d late", name, len(r.crashes), late)
		}
	}
}
