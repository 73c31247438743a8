package share_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"cicadastand.dev/core/coord/speed"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
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

func (s *heldStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
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
	is.Equal(received.readCount(), 0)
}

// tell sends a status to a host and returns the reply.
func tell(t *testing.T, address string, status *loadpb.Status) *loadpb.Heard {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	out, err := loadpb.NewLoadClient(conn).Tell(context.Background(), status)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// A host of the previous release knows no segments. It gets small records, and reads the store
// for large ones, which would not arrive in a status message.
func TestHubServesHostsOfThePreviousRelease(t *testing.T) {
	is := is.New(t)
	hosts := domainHosts(t)
	store := &heldStore{mark: feed.ReadMark{Next: 5, Started: clock.Real{}.Boot()}, records: []feed.Record{{Key: "config", Value: make([]byte, 20<<10)}}}
	startHostWithStore(t, hosts, 0, metrics.NewSet(), store)
	old, current := &loadpb.Status{Host: "h1", Domain: "d"}, &loadpb.Status{Host: "h2", Domain: "d", Fetches: true}
	is.Equal(len(tell(t, hosts[0].Address, old).GetRecords()), 1)
	reply := tell(t, hosts[0].Address, current)
	is.Equal(len(reply.GetRecords()), 0)
	is.True(reply.GetOffer() != nil)
	store.ReceiveRecords(largeConfig(1), feed.ReadMark{Next: 6, Started: clock.Real{}.Boot()}, "")
	reply = tell(t, hosts[0].Address, old)
	is.Equal(len(reply.GetRecords()), 0)
	is.True(reply.GetOffer() == nil)
	is.Equal(reply.GetPublished().GetNext(), int64(6)) // tells the host to read
}

// oldHub is a hub of the previous release.
type oldHub struct {
	loadpb.UnimplementedLoadServer
	statuses chan *loadpb.Status
}

// Tell implements loadpb.LoadServer.
func (h oldHub) Tell(_ context.Context, in *loadpb.Status) (*loadpb.Heard, error) {
	select {
	case h.statuses <- in:
	default:
	}
	return &loadpb.Heard{Published: &loadpb.Mark{Known: true, Next: 6}}, nil
}

// A hub of the previous release would put 750 KB into each reply while a host lacks them.
func TestHostWithLargeRecordsReadsTheStoreBesideAnOldHub(t *testing.T) {
	is := is.New(t)
	hosts := domainHosts(t)
	listener, err := net.Listen("tcp", hosts[0].Address)
	is.NoErr(err)
	hub := oldHub{statuses: make(chan *loadpb.Status, 1)}
	server := grpc.NewServer()
	loadpb.RegisterLoadServer(server, hub)
	go serve{server, listener}.run()
	t.Cleanup(server.Stop)
	store := &heldStore{mark: feed.ReadMark{Next: 5}, records: largeConfig(1)}
	member := startHostWithStore(t, hosts, 1, metrics.NewSet(), store)
	for until := time.Now().Add(10 * time.Second); store.readCount() == 0; {
		is.True(time.Now().Before(until)) // the host reads
		member.Announce(context.Background())
		time.Sleep(20 * time.Millisecond) // the interval of status messages
	}
	is.Equal((<-hub.statuses).GetConfigVersion(), int64(math.MaxInt64))
}

type serve struct {
	server   *grpc.Server
	listener net.Listener
}

// run serves until the server is stopped.
func (s serve) run() { _ = s.server.Serve(s.listener) }

// The hub is lost when a part of the records has arrived. The next hub must not send it again.
func TestTransferThatBreaksOffLosesNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	hosts := domainHosts(t)
	hosts[1].LinkMbps = 100 // the next hub
	mark := feed.ReadMark{Next: 5, Started: clock.Real{}.Boot(), Own: true}
	records := randomConfig()
	sets := []*metrics.Set{metrics.NewSet(), metrics.NewSet()}
	first := startHostWithStore(t, hosts, 0, sets[0], &heldStore{mark: mark, records: records})
	startHostWithStore(t, hosts, 1, sets[1], &heldStore{mark: mark, records: records})
	hosts[0].Address = startSlowLink(t, hosts[0].Address)
	received := &heldStore{}
	member := startHostWithStore(t, hosts, 2, metrics.NewSet(), received)
	sent := func(at int) int {
		return int(sets[at].GetOrCreateCounter("cicada_share_record_bytes_sent_total").Get())
	}
	size := len(records[0].Value)
	for until := time.Now().Add(20 * time.Second); !received.has(records); {
		is.True(time.Now().Before(until)) // the records arrive
		if sent(0) > size/2 {
			first.Close()
		}
		member.Announce(ctx)
		time.Sleep(20 * time.Millisecond) // the interval of status messages
	}
	is.True(sent(0) > size/2)
	is.True(sent(1) > 0 && sent(1) < size*6/10) // what the first hub has sent and a few batches on their way
}

// A newer version is published when half of a version has arrived. What both share must not be
// sent again, or versions that follow each other would never arrive.
func TestNewerVersionKeepsWhatHasArrived(t *testing.T) {
	is := is.New(t)
	hosts := domainHosts(t)
	set := metrics.NewSet()
	first := randomConfig()
	hub := &heldStore{mark: feed.ReadMark{Next: 5, Started: clock.Real{}.Boot(), Own: true}, records: first}
	startHostWithStore(t, hosts, 0, set, hub)
	sent := set.GetOrCreateCounter("cicada_share_record_bytes_sent_total")
	hosts[0].Address = startSlowLink(t, hosts[0].Address)
	second := []feed.Record{{Key: "config", Value: append([]byte("changed"), first[0].Value...)}}
	received := &heldStore{}
	member := startHostWithStore(t, hosts, 1, metrics.NewSet(), received)
	size := len(first[0].Value)
	for until := time.Now().Add(20 * time.Second); !received.has(second); {
		is.True(time.Now().Before(until)) // the newer version arrives
		if int(sent.Get()) > size/2 {
			hub.ReceiveRecords(second, feed.ReadMark{Next: 6, Started: clock.Real{}.Boot(), Own: true}, "")
		}
		member.Announce(context.Background())
		time.Sleep(20 * time.Millisecond) // the interval of status messages
	}
	is.True(int(sent.Get()) < size*12/10)
}

// randomConfig returns records of 1 MB that can't be compressed.
func randomConfig() []feed.Record {
	rng := rand.New(rand.NewPCG(1, 1))
	value := make([]byte, 1<<20)
	for i := range value {
		value[i] = byte(rng.Uint32())
	}
	return []feed.Record{{Key: "config", Value: value}}
}

// busyHub responds to no status in time.
type busyHub struct{ loadpb.UnimplementedLoadServer }

// Tell implements loadpb.LoadServer.
func (busyHub) Tell(ctx context.Context, _ *loadpb.Status) (*loadpb.Heard, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A late response used to make a host take its hub for lost, and the next one with a slower link.
func TestHostKeepsAHubThatIsOnlySlow(t *testing.T) {
	for _, lives := range []bool{true, false} {
		t.Run(fmt.Sprint(lives), func(t *testing.T) {
			is := is.New(t)
			hosts := domainHosts(t)
			listener, err := net.Listen("tcp", hosts[0].Address)
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			if lives { // otherwise its system accepts the connection, and nothing comes
				server := grpc.NewServer()
				loadpb.RegisterLoadServer(server, busyHub{})
				go serve{server, listener}.run()
				t.Cleanup(server.Stop)
			}
			table := hubTable(hosts, 1)
			set := metrics.NewSet()
			member := startHostWithHubs(t, hosts, 1, set, table)
			member.Announce(context.Background())
			failures := set.GetOrCreateCounter("cicada_share_failures_total")
			for until := time.Now().Add(10 * time.Second); failures.Get() == 0; {
				is.True(time.Now().Before(until)) // the message fails
				time.Sleep(10 * time.Millisecond) // polls
			}
			time.Sleep(50 * time.Millisecond) // the failure is recorded right after it is counted
			is.Equal(table.OwnHub(clock.Real{}.Boot()).Name == hosts[0].Name, lives)
		})
	}
}

// uselessHub offers records and does not send them.
type uselessHub struct {
	loadpb.UnimplementedLoadServer
	outline *loadpb.OutlineReply
}

// Tell implements loadpb.LoadServer.
func (h uselessHub) Tell(context.Context, *loadpb.Status) (*loadpb.Heard, error) {
	return &loadpb.Heard{Published: &loadpb.Mark{Known: true, Next: 6}, Offer: &loadpb.Offer{Fingerprint: 1}}, nil
}

// Outline implements loadpb.LoadServer.
func (h uselessHub) Outline(context.Context, *loadpb.OutlineRequest) (*loadpb.OutlineReply, error) {
	return h.outline, nil
}

// Fetch implements loadpb.LoadServer.
func (h uselessHub) Fetch(context.Context, *loadpb.FetchRequest) (*loadpb.FetchReply, error) {
	return &loadpb.FetchReply{Busy: true}, nil
}

// A hub hears of each read, so it does not read the store by itself as a member does after a time.
func TestHostReadsTheStoreIfOfferedRecordsDoNotArrive(t *testing.T) {
	segment := &loadpb.Segment{Id: make([]byte, 16), Size: 5000}
	outlines := map[string]*loadpb.OutlineReply{
		"no-read":    {},
		"impossible": {Published: &loadpb.Mark{Known: true, Next: 6}, Records: []*loadpb.RecordOutline{{Key: "config", Segments: []*loadpb.Segment{{Id: []byte("x"), Size: 1 << 30}}}}},
		"no-segment": {Published: &loadpb.Mark{Known: true, Next: 6}, Records: []*loadpb.RecordOutline{{Key: "config", Segments: []*loadpb.Segment{segment}}}},
	}
	for name, outline := range outlines {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			hosts := domainHosts(t)
			listener, err := net.Listen("tcp", hosts[0].Address)
			is.NoErr(err)
			server := grpc.NewServer()
			loadpb.RegisterLoadServer(server, uselessHub{outline: outline})
			go serve{server, listener}.run()
			t.Cleanup(server.Stop)
			store := &heldStore{}
			member := startHostWithStore(t, hosts, 1, metrics.NewSet(), store)
			for until := time.Now().Add(10 * time.Second); store.readCount() == 0; {
				is.True(time.Now().Before(until)) // the host reads
				member.Announce(context.Background())
				time.Sleep(20 * time.Millisecond) // the interval of status messages
			}
		})
	}
}
