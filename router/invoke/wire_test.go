package invoke

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/trans/dialer"
)

// The service reads each request and closes the connection, on which an ordinary
// transport would send a request with an idempotency key again.
func TestSingleUseClientSendsOnce(t *testing.T) {
	is := is.New(t)
	var arrived, connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived.Add(1)
		panic(http.ErrAbortHandler)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	e := fleet.Endpoint{Name: "s", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	req := &Request{ID: "x", Account: "a", Method: http.MethodPost, Path: "/orders", Key: "k", Body: []byte("{}")}
	for range 20 {
		client, err := dialOnce(context.Background(), dialer.From(netip.Addr{}), e.Address)
		is.NoErr(err)
		_, err = client.send(context.Background(), req, e, 1)
		is.True(err != nil)
		_, err = client.send(context.Background(), req, e, 1)
		is.True(err != nil) // there is no connection for a second request
		client.close()
	}
	is.Equal(arrived.Load(), int64(20))
	is.Equal(connections.Load(), int64(20))
}

func TestKeyCreated(t *testing.T) {
	is := is.New(t)
	at, err := keyCreated(&Request{Key: "0190a0a0-0000-7000-8000-000000000000"})
	is.NoErr(err)
	is.Equal(at.UnixMilli(), int64(0x0190a0a00000))
	for _, bad := range []*Request{{}, {Key: "k"}, {Key: "k", KeyCreated: "yesterday"}, {Key: "f47ac10b-58cc-4372-a567-0e02b2c3d479"}} {
		_, err := keyCreated(bad)
		is.True(err != nil)
	}
}
