package httpd

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cicadastand.dev/core/state/clock"
)

func startServer(t *testing.T, handler http.HandlerFunc) *Server {
	t.Helper()
	s, err := Listen(context.Background(), Config{Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: handler, Clock: clock.New(), Logger: hclog.NewNullLogger()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func dial(t *testing.T, address netip.AddrPort) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Under load, the server is slow to accept: clients have connected and sent requests
// that the process has not seen when it stops listening.
func TestStopAcceptsEstablishedConnections(t *testing.T) {
	is := is.New(t)
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	l := &listener{TCPListener: tcp, clock: clock.New()}
	const clients = 20
	for range clients {
		_, err := io.WriteString(dial(t, netip.MustParseAddrPort(l.Addr().String())), "request")
		is.NoErr(err)
	}
	accepted := make(chan net.Conn, clients)
	slow := &slowAcceptor{l: l, accepted: accepted}
	go slow.run()
	l.stopping.Store(true)
	is.NoErr(l.drain(context.Background()))
	is.NoErr(l.Close())
	for range clients {
		select {
		case c := <-accepted:
			is.NoErr(c.Close())
		case <-time.After(time.Second):
			t.Fatal("an established connection was not accepted")
		}
	}
	l.closing.Wait()
}

type slowAcceptor struct {
	l        net.Listener
	accepted chan net.Conn
}

func (s *slowAcceptor) run() {
	for {
		time.Sleep(3 * time.Millisecond) // the load that makes it slow
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.accepted <- c
	}
}

// A request arrives on an idle connection just before the server closes it, and is not
// read. Its client gets the end of the connection, which proves that the request was not
// read, and not a reset, which does not.
func TestRequestThatCrossesTheCloseGetsNoReset(t *testing.T) {
	is := is.New(t)
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	l := &listener{TCPListener: tcp, clock: clock.New()}
	client := dial(t, netip.MustParseAddrPort(l.Addr().String()))
	server, err := l.Accept()
	is.NoErr(err)
	_, err = io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // the request arrives
	l.stopping.Store(true)
	is.NoErr(server.Close())
	_, err = server.Read(make([]byte, 1))
	is.True(err != nil) // the request is not served
	_, err = client.Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF))
	is.NoErr(l.Close())
	l.closing.Wait()
}

// Connections that are closed while the server runs are closed at once.
func TestStopOfIdleServerIsPrompt(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(http.ResponseWriter, *http.Request) {})
	c := dial(t, s.Address())
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(c)
	_, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
	started := time.Now()
	s.StopListening(context.Background())
	is.NoErr(s.Shutdown(context.Background()))
	is.True(time.Since(started) < time.Second)
	_, err = reader.ReadByte()
	is.True(errors.Is(err, io.EOF))
}
