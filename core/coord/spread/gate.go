package spread

import (
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// BatchBytes is the number of compressed bytes after which a reply has no further segment.
	// On a link of 10 Mbit/s, another message waits for 13 ms behind it.
	BatchBytes = 16 << 10
	// linkShare is the share of a host's link that segments may take. The rest is left to
	// requests, loads and placements, which must not become old meanwhile.
	linkShare = 0.6
	// unknownMbps is the bandwidth of a host's link if it is not known: that of slow ones.
	unknownMbps = 10
	bitsPerMbit = 1e6
	// maxQueued is how long the segments take that may be on their way at a time: about one
	// batch on a slow link.
	maxQueued = 20 * time.Millisecond
	// maxSources is the number of other sources that are named to a host.
	maxSources = 4
	// holderTime is the age up to which a host counts as a source: hosts send their status
	// several times within it.
	holderTime = time.Second
)

// Gate limits how much one host sends of segments, and knows which others have some. It is
// safe for concurrent use.
//
// Lock order: Gate.mu is a leaf.
type Gate struct {
	bytesPerSecond float64
	random         func() float64

	mu sync.Mutex
	// busyUntil is when the segments that were sent have left this host.
	busyUntil time.Duration
	holders   map[string]holder
}

// holder is a host that has some segments of the records with a fingerprint.
type holder struct {
	fingerprint uint64
	seen        time.Duration
}

// NewGate returns a gate for a host with a link of linkMbps; 0 if that is not known. random
// returns numbers in [0, 1).
func NewGate(linkMbps int, random func() float64) *Gate {
	if linkMbps <= 0 {
		linkMbps = unknownMbps
	}
	return &Gate{bytesPerSecond: linkShare * float64(linkMbps) * bitsPerMbit / 8, random: random, holders: make(map[string]holder)}
}

// Enter admits a request for a batch, and returns false if the link is taken. The caller calls
// Sent when it knows the size of its reply. The hub of another failure domain is always
// admitted, since a whole domain waits for it.
func (g *Gate) Enter(forDomain bool, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busyUntil > now+maxQueued && !forDomain {
		return false
	}
	g.busyUntil = max(g.busyUntil, now) + g.timeFor(BatchBytes)
	return true
}

// Sent records the size of the reply to a request that was admitted.
func (g *Gate) Sent(bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busyUntil -= g.timeFor(BatchBytes - bytes)
}

// timeFor returns how long bytes take.
func (g *Gate) timeFor(bytes int) time.Duration {
	return time.Duration(float64(bytes) / g.bytesPerSecond * float64(time.Second))
}

// Hold records that a host has segments of the records with a fingerprint; 0 for none.
func (g *Gate) Hold(host string, fingerprint uint64, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fingerprint == 0 {
		delete(g.holders, host)
		return
	}
	g.holders[host] = holder{fingerprint: fingerprint, seen: now}
}

// Sources returns other hosts that have segments of the records with a fingerprint: a few at
// random.
func (g *Gate) Sources(host string, fingerprint uint64, now time.Duration) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holders = lo.PickBy(g.holders, func(_ string, h holder) bool { return now-h.seen <= holderTime })
	others := lo.Keys(lo.PickBy(g.holders, func(name string, h holder) bool { return name != host && h.fingerprint == fingerprint }))
	n := min(maxSources, len(others))
	for i := range n {
		j := i + int(g.random()*float64(len(others)-i))
		others[i], others[j] = others[j], others[i]
	}
	return others[:n]
}
