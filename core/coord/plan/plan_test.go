package plan_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/plan"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

const leadTime = 100 * time.Millisecond

func newMirror(t *testing.T, engines int) (*mirror.Mirror, map[string]*site.Endpoint) {
	t.Helper()
	m := mirror.New()
	c, err := site.New(site.Spec{Version: 1, Routes: []*site.Route{{Host: "a", PathPrefix: "/"}}})
	if err != nil {
		t.Fatal(err)
	}
	m.SetConfig(c)
	list := make(map[string]*site.Endpoint)
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		list[id] = &site.Endpoint{ID: id, Service: "s", Address: address, Weights: map[string]int{"m": 1}}
	}
	m.SetEndpoints(list)
	return m, list
}

// New versions are published every 2.4 s, the rate of both platforms under normal load,
// and each engine takes 300 ms to load one. No engine may serve weights that were
// superseded more than 6 s ago, and no more than a fifth of them may load concurrently.
func TestEnginesFollowFrequentVersions(t *testing.T) {
	is := is.New(t)
	m, list := newMirror(t, 12)
	p := plan.New()
	const loadTime, lag = 300 * time.Millisecond, 200 * time.Millisecond
	done := make(map[string]time.Duration)
	target := make(map[string]plan.Step)
	version := 1
	for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
		if now%(2400*time.Millisecond) == 0 && version < 6 {
			version++
			m.SetWeights("m", version, now)
		}
		for id, at := range done {
			s := target[id]
			if now >= at {
				list[id].Weights = map[string]int{"m": s.TargetVersion}
			}
			if now >= at+lag {
				p.HandleReport(id, feed.Report{OrderCount: s.OrderCount + 1, Weights: map[string]int{"m": s.TargetVersion}}, now)
				delete(done, id)
			}
		}
		for _, s := range p.Next(m.View(), nil, now, leadTime) {
			count := s.OrderCount
			if count == plan.UnknownOrderCount {
				count = 0
			}
			s.OrderCount = count
			p.HandleVerdict(s, feed.Accepted, nil, now)
			done[s.Endpoint.ID], target[s.Endpoint.ID] = s.At+loadTime, s
		}
		loading := 0
		for _, at := range done {
			if now < at && now >= at-loadTime {
				loading++
			}
		}
		is.True(loading <= 2) // a fifth of twelve
		for _, e := range list {
			if at, replaced := m.View().ReplacedAt("m", e.Weights["m"]); replaced {
				is.True(now-at < 6*time.Second)
			}
		}
	}
	is.Equal(len(p.Outdated(m.View(), 20*time.Second)), 0)
}

func TestOrderByVersionThenLoad(t *testing.T) {
	is := is.New(t)
	m, list := newMirror(t, 10)
	list["e07"].Weights["m"] = 0
	m.SetWeights("m", 3, 0)
	steps := plan.New().Next(m.View(), map[string]int{"e00": 5}, 0, leadTime)
	is.Equal(len(steps), 2)
	is.Equal(steps[0].Endpoint.ID, "e07")
	is.Equal(steps[1].Endpoint.ID, "e01")
	is.Equal(steps[0].At, leadTime)
}

// An unreachable engine must not use up the limit of concurrent loads; it is tried again
// later.
func TestUnreachableEngineDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	m, _ := newMirror(t, 10)
	m.SetWeights("m", 2, 0)
	p := plan.New()
	first := p.Next(m.View(), nil, 0, 0)
	for _, s := range first {
		p.HandleVerdict(s, feed.Refused, errors.New("connection timed out"), 0)
	}
	second := p.Next(m.View(), nil, 50*time.Millisecond, 0)
	is.Equal(len(second), 2)
	is.True(second[0].Endpoint.ID != first[0].Endpoint.ID)
	again := p.Next(m.View(), nil, 3*time.Second, 0)
	is.Equal(again[0].Endpoint.ID, first[0].Endpoint.ID)  // retried after the delay
	is.Equal(again[0].OrderCount, plan.UnknownOrderCount) // the order may have been accepted
}

func TestDrainingEnginesGetNoOrders(t *testing.T) {
	is := is.New(t)
	m, list := newMirror(t, 2)
	list["e00"].Draining = true
	m.SetWeights("m", 2, 0)
	outdated := plan.New().Outdated(m.View(), 0)
	is.Equal(len(outdated), 1)
	is.Equal(outdated[0].Endpoint.ID, "e01")
}

// An engine may crash while it loads weights, and come back under its ID with the old ones.
func TestRestartedEngineIsOrderedAgain(t *testing.T) {
	is := is.New(t)
	m, list := newMirror(t, 5)
	m.SetWeights("m", 2, 0)
	p := plan.New()
	first := p.Next(m.View(), nil, 0, 0)
	is.Equal(len(first), 1)
	id := first[0].Endpoint.ID
	first[0].OrderCount = 3
	p.HandleVerdict(first[0], feed.Accepted, nil, 0)
	restarted := *list[id]
	restarted.Started = time.Unix(100, 0)
	list[id] = &restarted
	m.SetEndpoints(list)
	again := p.Next(m.View(), nil, time.Second, 0)
	is.Equal(len(again), 1)
	is.Equal(again[0].Endpoint.ID, id)
	is.Equal(again[0].OrderCount, plan.UnknownOrderCount)
}
