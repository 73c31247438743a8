package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/place"
)

// The replayed load: 18 engines that compute 44 prompt tokens per millisecond receive 31
// long prompts and 87 short questions per second, and twice that in the middle third.
// Answers to questions are streams that must start within 400 ms and must not pause
// for longer.
const (
	replayEngines = 18
	replayRate    = 44.0 // tokens per millisecond
	replaySpan    = 30 * time.Second
	longPerSecond = 31
	questions     = 87
	maxPause      = 400 * time.Millisecond
	eventTokens   = 15 // tokens of a stream in one event
	chunkTokens   = 2048
	decodeStep    = 3400 * time.Microsecond
	shareInterval = 60 * time.Millisecond
)

// replayPrompt is a prompt at a simulated engine.
type replayPrompt struct {
	rank, tokens, output int
	left                 int
	arrived, lastEvent   time.Duration
	made                 int
	late                 bool
}

// replayEngine computes one prompt at a time in chunks, the most urgent first, and does
// not interrupt one that it has started. With each chunk each stream makes one token.
type replayEngine struct {
	now              time.Duration
	current          *replayPrompt
	waiting, streams []*replayPrompt
}

func (e *replayEngine) runUntil(end time.Duration) {
	for e.now < end {
		e.startNext()
		if e.current == nil && len(e.streams) == 0 {
			e.now = end
			return
		}
		chunk := 0
		if e.current != nil {
			chunk = min(chunkTokens, e.current.left)
			e.current.left -= chunk
		}
		e.now += decodeStep + time.Duration(float64(chunk)/replayRate*float64(time.Millisecond))
		e.makeTokens()
		if e.current != nil && e.current.left == 0 {
			e.current.late = e.now-e.current.arrived > maxPause
			e.current.lastEvent = e.now
			e.streams = append(e.streams, e.current)
			e.current = nil
		}
	}
}

func (e *replayEngine) startNext() {
	if e.current != nil || len(e.waiting) == 0 {
		return
	}
	next := 0
	for i, p := range e.waiting {
		if p.rank < e.waiting[next].rank {
			next = i
		}
	}
	e.current = e.waiting[next]
	e.waiting = slices.Delete(e.waiting, next, next+1)
}

func (e *replayEngine) makeTokens() {
	for _, s := range e.streams {
		if s.made++; s.made%eventTokens == 0 || s.made == s.output {
			s.late = s.late || e.now-s.lastEvent > maxPause
			s.lastEvent = e.now
		}
	}
	e.streams = slices.DeleteFunc(e.streams, func(s *replayPrompt) bool { return s.made >= s.output })
}

func (e *replayEngine) work() load.Work {
	var w load.Work
	queued := e.waiting
	if e.current != nil {
		queued = append([]*replayPrompt{e.current}, queued...)
	}
	for _, p := range queued {
		w.Waiting++
		w.Tokens[p.rank] += p.tokens
	}
	w.Running = len(e.streams)
	return w
}

// replayShortBesideLong returns the share of questions that were late.
func replayShortBesideLong() float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	engines := make([]*replayEngine, replayEngines)
	for i := range engines {
		engines[i] = &replayEngine{}
	}
	list := make([]place.Engine, replayEngines)
	var asked []*replayPrompt
	shared := -shareInterval
	for now := time.Duration(0); now < replaySpan; now += time.Millisecond {
		for i, e := range engines {
			e.runUntil(now)
			if now-shared >= shareInterval {
				list[i] = place.Engine{ID: fmt.Sprint("e", i), Slots: 64, PrefillRate: 1000 * replayRate, Work: e.work()}
			}
		}
		if now-shared >= shareInterval {
			shared = now
		}
		factor := 1.0
		if now > replaySpan/3 && now < 2*replaySpan/3 {
			factor = 2
		}
		send := func(p *replayPrompt) {
			at := place.Choose(place.Prompt{Tokens: p.tokens, Rank: p.rank, Key: fmt.Sprint(rng.IntN(200))}, list, 16).Index
			p.left, p.arrived = p.tokens, now
			engines[at].waiting = append(engines[at].waiting, p)
			added := load.Work{Waiting: 1}
			added.Tokens[p.rank] = p.tokens
			list[at].Work = list[at].Work.Add(added)
		}
		if rng.Float64() < factor*longPerSecond/1000 {
			send(&replayPrompt{rank: 4, tokens: min(30_000, int(1500+5000*rng.ExpFloat64())), output: 9})
		}
		if rng.Float64() < factor*questions/1000 {
			p := &replayPrompt{rank: 3, tokens: 100 + rng.IntN(1000), output: 1 + rng.IntN(97)}
			asked = append(asked, p)
			send(p)
		}
	}
	late := 0
	for _, p := range asked {
		if p.late {
			late++
		}
	}
	return float64(late) / float64(len(asked))
}

// Short questions were late on calm days as well: they waited for a long prompt that
// their engine had started, or long prompts stalled their streams.
func TestShortQuestionsAreInTimeBesideLongPrompts(t *testing.T) {
	is := is.New(t)
	late := replayShortBesideLong()
	t.Logf("%.1f%% of the questions are late", 100*late)
	is.True(late < 0.04) // the target of the deployment
}
