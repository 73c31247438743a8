package share_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"cicadastand.dev/core/coord/speed"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/router/share"
)

// heldStore is the state of a host that has the operator's records, or receives them.
type heldStore struct {
	emptyStore

	mu      sync.Mutex
	mark    feed.ReadMark
	records []feed.Record
	// reads counts how often the host was told to read the platform's store itself.
	reads int
}

func (s *heldStore) Published() (feed.ReadMark, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mark, s.records != nil
}

func (s *heldStore) Records() []feed.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records
}

func (s *heldStore) ReceiveRecords(records []feed.Record, read feed.ReadMark, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mark, s.records = read, records
}

func (s *heldStore) ReceivePublished(read feed.ReadMark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mark.Precedes(read) {
		s.reads++
	}
}

func (s *heldStore) has(want []feed.Record) bool {
	got := s.Records()
	return len(got) == len(want) && len(got) > 0 && bytes.Equal(got[0].Value, want[0].Value)
}

// largeConfig returns a configuration with 3,200 routes.
func largeConfig(seed uint64) []feed.Record {
	rng := rand.New(rand.NewPCG(seed, 1))
	value := fmt.Appendf(nil, `{"version":%d,"routes":[`, seed)
	for range 3200 {
		value = fmt.Appendf(value, `{"name":"r-%07x","host":"%04x.example","path_prefix":"/%07x/%03x/","route_kind":"streaming","timeout_ms":3000,"target_latency_ms":400,"priority":0,"service":"huvo11a","max_attempts":2,"public":false,"sticky":true,"resumable":true},`,
			rng.Uint32()>>4, rng.Uint32()>>16, rng.Uint32()>>4, rng.Uint32()>>20)
	}
	return []feed.Record{{Key: "config", Value: value}}
}

// slowLink passes connections on to a host, and its responses at 10 Mbit/s.
type slowLink struct {
	listener net.Listener
	to       string
}

// startSlowLink returns the address of a slow link to a host.
func startSlowLink(t *testing.T, to string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := &slowLink{listener: listener, to: to}
	go l.run()
	return listener.Addr().String()
}

func (l *slowLink) run() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		host, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		go pump{from: client, to: host, pause: 0}.run()
		go pump{from: host, to: client, pause: 3300 * time.Microsecond}.run()
	}
}

// pump copies 4 KiB and then pauses.
type pump struct {
	from, to net.Conn
	pause    time.Duration
}

func (p pump) run() {
	defer func() { _, _ = p.from.Close(), p.to.Close() }()
	buf := make([]byte, 4<<10)
	for {
		n, err := io.ReadAtLeast(p.from, buf, 1)
		if err != nil {
			return
		}
		if _, err := p.to.Write(buf[:n]); err != nil {
			return
		}
		time.Sleep(p.pause) // the rate of the link
	}
}

// startHostWithStore starts the service of one host.
func startHostWithStore(t *testing.T, hosts []feed.Host, at int, set *metrics.Set, store share.StoreState) *share.Service {
	t.Helper()
	return startHostWith(t, hosts, at, set, speed.New(speed.Config{}), store)
}

// A status message has 400 ms. On a link of 10 Mbit/s, a configuration with 3,200 routes takes
// longer.
func TestConfigurationTooLargeForAStatusMessageArrives(t *testing.T) {
	is := is.New(t)
	hosts := domainHosts(t)
	sent := &heldStore{mark: feed.ReadMark{Next: 5, Started: clock.Real{}.Boot(), Own: true}, records: largeConfig(1)}
	startHostWithStore(t, hosts, 0, metrics.NewSet(), sent)
	hosts[0].Address = startSlowLink(t, hosts[0].Address)
	received := &heldStore{}
	member := startHostWithStore(t, hosts, 1, metrics.NewSet(), received)
	for until := time.Now().Add(10 * time.Second); !received.has(sent.records); {
		is.True(time.Now().Before(until)) // the configuration arrives
		member.Announce(context.Background())
		time.Sleep(60 * time.Millisecond) // the interval of status messages
	}
	is.Equal(received.reads, 0)
}
