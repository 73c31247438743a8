package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"google.golang.org/grpc/credentials/insecure"

	"cicadastand.dev/core/coord/follow"
	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/coord/limit"
	"cicadastand.dev/core/coord/member"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/stream"
	"cicadastand.dev/core/state/usage"
	"cicadastand.dev/core/trans/dialer"
	"cicadastand.dev/router/peer"
)

// startPeer starts a service that opens connections with dial.
func startPeer(t *testing.T, name string, dial dialer.Func) (*peer.Service, *follow.Store, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	store := follow.NewStore()
	self := member.Host{Name: name, FailureDomain: "d", Address: address}
	s := peer.New(peer.Config{
		Clock: clock.New(), Self: self, Listen: address, Members: member.New(member.DefaultConfig(self)), Store: store,
		Health: health.New(health.DefaultConfig()), Poison: poison.New(poison.DefaultConfig()), Limits: limit.NewLimiter(),
		Allocator: limit.NewAllocator(limit.DefaultAllocatorConfig()), Usage: usage.New(), Interval: time.Second, Fanout: 1,
		ServerCreds: insecure.NewCredentials(), ClientCreds: insecure.NewCredentials(), Dial: dial,
		Logger: hclog.NewNullLogger(), Metrics: metrics.NewSet(),
	})
	if err := s.Listen(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, store, address
}

// slowConn receives at about 10 Mbit/s.
type slowConn struct{ net.Conn }

// Read implements net.Conn.
func (c slowConn) Read(to []byte) (int, error) {
	time.Sleep(3300 * time.Microsecond) // the rate of the link
	return c.Conn.Read(to[:min(len(to), 4<<10)])
}

func dialSlowly(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := dialer.From(netip.Addr{})(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return slowConn{c}, nil
}

// An exchange has 1 s. On a link of 10 Mbit/s, 4 MB of configuration take longer.
func TestConfigurationTooLargeForAnExchangeArrives(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, store, address := startPeer(t, "a", dialer.From(netip.Addr{}))
	var records []stream.Record
	for i := range 100 {
		records = append(records, stream.Record{Offset: uint64(i + 1), Data: fmt.Appendf(nil, "%040000d", i)})
	}
	store.Apply(records)
	behind, received, _ := startPeer(t, "b", dialSlowly)
	for until := time.Now().Add(20 * time.Second); received.Offset() < store.Offset(); {
		is.True(time.Now().Before(until)) // the configuration arrives
		call, cancel := context.WithTimeout(ctx, time.Second)
		is.NoErr(behind.ExchangeWith(call, address))
		cancel()
		time.Sleep(50 * time.Millisecond) // the interval of exchanges
	}
}
