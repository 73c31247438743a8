package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/limit"
	"cicadastand.dev/core/coord/member"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/proto/engine"
	"cicadastand.dev/core/proto/peerpb"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/index"
	"cicadastand.dev/core/state/ledger"
	"cicadastand.dev/core/state/prefix"
	"cicadastand.dev/core/state/stream"
	"cicadastand.dev/core/state/usage"
	"cicadastand.dev/core/trans/dialer"
	"cicadastand.dev/router/peer"
	"cicadastand.dev/router/probe"
)

// unitCosts are the measured costs of single items, operations and messages.
type unitCosts struct {
	// Bytes of memory for each item in a table.
	accountBytes, limitBytes, allocatorBytes, indexBytes, endpointBytes, hostBytes, claimBytes float64
	// Nanoseconds of CPU time for each operation.
	changeNanos, limitNanos, allocatorNanos, demandNanos, chooseNanos, expectedPiecesNanos, chainNanos, confirmNanos, probeNanos, exchangeNanos, replayNanos float64
	// Bytes on the wire, or in the platform's log, for each message or record.
	changeBytes, heartbeatBytes, demandBytes, probeBytes, digestBytes, claimRecordBytes, outcomeRecordBytes, eventBytes float64
}

var start = time.Unix(1_000_000, 0).UTC()

func measure() unitCosts {
	var u unitCosts
	u.measureConfiguration()
	u.measureLimits()
	u.measureRouting()
	u.measureTables()
	u.measureClaims()
	u.measurePeers()
	u.measureProbe()
	ev, _ := json.Marshal(engine.CacheEvent{Sequence: 1 << 30, Kind: engine.EventStored, Key: prefix.Key{1}.String(), Incarnation: strings.Repeat("x", 36)})
	u.eventBytes = float64(len(ev))
	return u
}

// heapBytesPerItem returns by how many bytes the heap grows for each of the n items
// that build creates.
func heapBytesPerItem[T any](n int, build func() T) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	items := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(items)
	return max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc)) / float64(n)
}

// nanosPerCall returns the mean time of one call of do in nanoseconds.
func nanosPerCall(do func(i int)) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		i := 0
		for b.Loop() {
			do(i)
			i++
		}
	})
	return float64(r.NsPerOp())
}

func contractText(i int) string {
	account := fmt.Sprintf("account-%05d", i)
	return fmt.Sprintf(`account: %s
key-hashes: [%s]
rank: urgent
ranks: [urgent, other]
limits: {requests-per-second: 20, tokens-per-second: 100000, concurrency: 50}
urgent: {first-token: 590ms, deadline: 30s}
models: [m]
`, account, fleet.HashKey(account))
}

func change(document, text string, base uint64) []byte {
	rec := conf.Record{Kind: conf.KindChange, ID: strings.Repeat("x", 36), Change: &conf.Change{Document: document, Base: base, Author: "ana", Text: text}}
	data, _ := rec.Encode()
	return data
}

func (u *unitCosts) measureConfiguration() {
	store := follow.NewStore()
	store.Apply([]stream.Record{{Offset: 1, Time: start, Data: change("fleet", "models: [{name: m, weights-version: v1}]\n", 0)}})
	u.accountBytes = heapBytesPerItem(targetAccounts, func() *follow.Store {
		for i := range targetAccounts {
			data := change(conf.ContractDocument(fmt.Sprintf("account-%05d", i)), contractText(i), 0)
			store.Apply([]stream.Record{{Offset: uint64(i + 2), Time: start, Data: data}})
		}
		return store
	})
	name, text := conf.ContractDocument("account-00001"), contractText(1)
	version, offset := uint64(3), store.Offset()
	u.changeBytes = float64(len(change(name, text, version)))
	u.changeNanos = nanosPerCall(func(int) {
		offset++
		store.Apply([]stream.Record{{Offset: offset, Time: start, Data: change(name, text, version)}})
		version = offset
	})
	heartbeat := conf.Record{Kind: conf.KindHeartbeat, ID: strings.Repeat("x", 36), Heartbeat: &conf.Heartbeat{Host: "node-001", Sent: start}}
	data, _ := heartbeat.Encode()
	u.heartbeatBytes = float64(len(data))
}

func (u *unitCosts) measureLimits() {
	contract := func(i int) *fleet.Contract {
		return &fleet.Contract{Account: fmt.Sprintf("account-%05d", i), Limits: fleet.Limits{RequestsPerSecond: 1e9, TokensPerSecond: 1e9, Concurrency: 1e6}}
	}
	const n = 1000
	u.limitBytes = heapBytesPerItem(n, func() *limit.Limiter {
		l := limit.NewLimiter()
		for i := range n {
			_ = l.Acquire(contract(i), 1, start)
		}
		return l
	})
	l, c := limit.NewLimiter(), contract(1)
	u.limitNanos = nanosPerCall(func(i int) {
		if l.Acquire(c, 1, start.Add(time.Duration(i))) == nil {
			l.Release(c.Account)
		}
	})
	u.allocatorBytes = heapBytesPerItem(n, func() *limit.Allocator {
		allocator := limit.NewAllocator(limit.DefaultAllocatorConfig())
		for i := range n {
			allocator.Report("node-001", fmt.Sprintf("account-%05d", i), 1, 20, start)
		}
		return allocator
	})
	allocator := limit.NewAllocator(limit.DefaultAllocatorConfig())
	u.allocatorNanos = nanosPerCall(func(i int) { allocator.Report(fmt.Sprintf("node-%d", i%8), "account", 2, 20, start) })
}

func keys(n int) []prefix.Key {
	out := make([]prefix.Key, n)
	for i := range out {
		out[i] = prefix.Key{byte(i), byte(i >> 8), byte(i >> 16)}
	}
	return out
}

func (u *unitCosts) measureRouting() {
	names := make([]string, domainEngines)
	candidates := make([]route.Candidate, domainEngines)
	for i := range names {
		names[i] = fmt.Sprintf("engine-%03d", i)
		candidates[i] = route.Candidate{Name: names[i], Slots: 32, PrefillRate: 50_000, ServiceTime: time.Second}
	}
	chain := keys(piecesPerPrompt)
	policy := route.NewMinTTFT()
	req := route.Request{Chain: chain, Tokens: 41_000, OwnerHitRate: 0.7}
	u.chooseNanos = nanosPerCall(func(int) { policy.Choose(req, candidates) })
	x := index.New(index.DefaultConfig())
	for _, name := range names[:8] {
		x.Confirm(name, "one", chain, start)
	}
	u.expectedPiecesNanos = nanosPerCall(func(int) { x.ExpectedPieces(chain, names, start) })
	prompt := strings.Repeat("x", promptBytes)
	u.chainNanos = nanosPerCall(func(int) { prefix.Chain(prefix.Scope{Account: "a", Model: "m"}, prompt) })
	all := keys(50_000)
	u.indexBytes = heapBytesPerItem(len(all), func() *index.Index {
		x := index.New(index.DefaultConfig())
		x.Confirm("engine-001", "one", all, start)
		return x
	})
	u.confirmNanos = nanosPerCall(func(i int) { x.Confirm("engine-001", "one", all[i%len(all):i%len(all)+1], start) })
}

func (u *unitCosts) measureTables() {
	u.endpointBytes = heapBytesPerItem(targetEngines, func() *health.Table {
		t := health.New(health.DefaultConfig())
		for i := range targetEngines {
			t.RecordReport(fmt.Sprintf("engine-%03d", i), health.Report{Incarnation: strings.Repeat("x", 36), Weights: map[string]string{"m": "v1"}}, start, start)
		}
		return t
	})
	u.hostBytes = heapBytesPerItem(targetNodes, func() *member.Table { return members(targetNodes, "node-000") })
}

func members(n int, self string) *member.Table {
	now := clock.New().Now()
	t := member.New(member.DefaultConfig(member.Host{Name: self, FailureDomain: "domain-1"}))
	for i := range n {
		t.RecordContact(member.Host{Name: fmt.Sprintf("node-%03d", i), FailureDomain: "domain-1", Address: netip.MustParseAddrPort("10.0.0.1:7300")}, false, now)
	}
	t.UpdateStates(now)
	return t
}

func (u *unitCosts) measureClaims() {
	record := func(i int) ledger.Record {
		return ledger.Record{
			Kind: ledger.KindClaim, Attempt: strings.Repeat("x", 36), Digest: strings.Repeat("d", 64), Created: start, Endpoint: "orders-01",
			ID: ledger.ID{Account: "account-00001", Service: "shop", Key: fmt.Sprintf("0190a0a0-0000-7000-8000-%012d", i)},
		}
	}
	outcome := record(1)
	outcome.Kind, outcome.Digest, outcome.Endpoint = ledger.KindOutcome, "", ""
	outcome.Outcome = &ledger.Outcome{Status: 201, ContentType: "application/json", Body: make([]byte, 120)}
	claimData, _ := ledger.EncodeBatch([]ledger.Record{record(1)})
	outcomeData, _ := ledger.EncodeBatch([]ledger.Record{outcome})
	u.claimRecordBytes, u.outcomeRecordBytes = float64(len(claimData)), float64(len(outcomeData))
	const n = 50_000
	u.claimBytes = heapBytesPerItem(n, func() *ledger.Table {
		t := ledger.New(ledger.DefaultConfig())
		for i := range n {
			t.Apply(uint64(i+1), start, record(i))
		}
		return t
	})
	t := ledger.New(ledger.DefaultConfig())
	u.replayNanos = nanosPerCall(func(i int) {
		for _, data := range [][]byte{claimData, outcomeData} {
			records, _ := ledger.DecodeBatch(data)
			for _, r := range records {
				r.ID.Key = fmt.Sprint(i)
				t.Apply(uint64(i+1), start, r)
			}
		}
	})
}

// newPeer returns a peer service that listens on loopback and has the membership
// table others.
func newPeer(ctx context.Context, name string, address netip.AddrPort, others *member.Table) *peer.Service {
	p := peer.New(peer.Config{
		Clock: clock.New(), Self: member.Host{Name: name, FailureDomain: "domain-1", Address: address}, Listen: address,
		Members: others, Store: follow.NewStore(), Health: health.New(health.DefaultConfig()), Poison: poison.New(poison.DefaultConfig()),
		Limits: limit.NewLimiter(), Allocator: limit.NewAllocator(limit.DefaultAllocatorConfig()), Usage: usage.New(), Interval: time.Second, Fanout: 1,
		ServerCreds: insecure.NewCredentials(), ClientCreds: insecure.NewCredentials(), Dial: dialer.From(netip.Addr{}),
		Logger: hclog.NewNullLogger(), Metrics: metrics.NewSet(),
	})
	if err := p.Listen(ctx); err != nil {
		panic(err)
	}
	return p
}

// measurePeers measures digest exchanges. Client and server of an exchange both run
// in this process, so the cost of one side is half of the measured time.
func (u *unitCosts) measurePeers() {
	ctx := context.Background()
	address := netip.MustParseAddrPort("127.0.0.1:17301")
	a := newPeer(ctx, "a", netip.MustParseAddrPort("127.0.0.1:17302"), members(targetNodes, "a"))
	b := newPeer(ctx, "b", address, members(targetNodes, "b"))
	defer a.Close()
	defer b.Close()
	u.exchangeNanos = nanosPerCall(func(int) {
		if err := a.ExchangeWith(ctx, address); err != nil {
			panic(err)
		}
	}) / 2
	u.demandNanos = emptyCallNanos(ctx)
	u.digestBytes = float64(proto.Size(a.Digest())) + grpcOverhead
	demand := &peerpb.DemandRequest{Host: "node-001", Demands: []*peerpb.AccountDemand{{Account: "account-00001", Requests: 1.5}}}
	u.demandBytes = float64(proto.Size(demand)) + grpcOverhead
}

// emptyCallNanos measures one side of an exchange between hosts with empty membership
// tables, which is the cost of the RPC itself.
func emptyCallNanos(ctx context.Context) float64 {
	address := netip.MustParseAddrPort("127.0.0.1:17303")
	a := newPeer(ctx, "a", netip.MustParseAddrPort("127.0.0.1:17304"), members(0, "a"))
	b := newPeer(ctx, "b", address, members(0, "b"))
	defer a.Close()
	defer b.Close()
	return nanosPerCall(func(int) {
		if err := a.ExchangeWith(ctx, address); err != nil {
			panic(err)
		}
	}) / 2
}

// grpcOverhead is the size in bytes of the HTTP/2 frames and compressed headers that
// surround a gRPC message.
const grpcOverhead = 80

func (u *unitCosts) measureProbe() {
	load := engine.Load{Incarnation: strings.Repeat("x", 36), Weights: map[string]string{"m": "v1"}, Role: "serving", Running: 30, QueuedTokens: 10_000}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(load) }))
	defer server.Close()
	p := probe.New(probe.Config{
		Clock: clock.New(), Health: health.New(health.DefaultConfig()), Index: index.New(index.DefaultConfig()),
		Dial: dialer.From(netip.Addr{}), Logger: hclog.NewNullLogger(),
	})
	defer p.Close()
	e := fleet.Endpoint{Name: "e", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	u.probeNanos = nanosPerCall(func(int) {
		if _, err := p.Probe(context.Background(), e); err != nil {
			panic(err)
		}
	}) / 2
	body, _ := json.Marshal(load)
	const httpOverhead = 250
	u.probeBytes = float64(len(body)) + httpOverhead
}

func printUnitCosts(w io.Writer, u unitCosts) {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(tw, "| slope\t| value\t| unit\t|")
	_, _ = fmt.Fprintln(tw, "|---\t|---\t|---\t|")
	for _, r := range []struct {
		name  string
		value float64
		unit  string
	}{
		{"contract in force", u.accountBytes, "bytes"},
		{"active account, buckets", u.limitBytes, "bytes"},
		{"split account", u.allocatorBytes, "bytes"},
		{"prefix index key", u.indexBytes, "bytes"},
		{"endpoint", u.endpointBytes, "bytes"},
		{"host", u.hostBytes, "bytes"},
		{"idempotency key", u.claimBytes, "bytes"},
		{"configuration change", u.changeNanos, "ns"},
		{"limit check", u.limitNanos, "ns"},
		{"split of one account", u.allocatorNanos, "ns"},
		{"routing decision over one domain", u.chooseNanos, "ns"},
		{"evidence for one domain", u.expectedPiecesNanos, "ns"},
		{"keys of a prompt of 40,000 tokens", u.chainNanos, "ns"},
		{"confirmation of a piece", u.confirmNanos, "ns"},
		{"load report", u.probeNanos, "ns"},
		{"exchange, one side", u.exchangeNanos, "ns"},
		{"claim and outcome folded", u.replayNanos, "ns"},
		{"change on the log", u.changeBytes, "bytes"},
		{"digest with 32 hosts", u.digestBytes, "bytes"},
		{"demand of one account", u.demandBytes, "bytes"},
		{"load report", u.probeBytes, "bytes"},
		{"claim and outcome on the log", u.claimRecordBytes + u.outcomeRecordBytes, "bytes"},
		{"cache event", u.eventBytes, "bytes"},
	} {
		_, _ = fmt.Fprintf(tw, "| %s\t| %.0f\t| %s\t|\n", r.name, r.value, r.unit)
	}
	_ = tw.Flush()
}
