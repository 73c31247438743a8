package invoke

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/trans/dialer"
)

// cutServer reads a request on each connection, writes the first bytes of a response and
// closes.
type cutServer struct {
	listener net.Listener
	mu       sync.Mutex
	written  string
}

func (s *cutServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_ = r.Body.Close()
			s.mu.Lock()
			_, _ = conn.Write([]byte(s.written))
			s.mu.Unlock()
		}
		_ = conn.Close()
	}
}

// resetServer answers the head of each request with a part of a body without a length, and soon resets
// the connection.
type resetServer struct{ listener net.Listener }

func (s *resetServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\ntwo st"))
		}
		time.Sleep(2 * time.Millisecond) // the upload goes on meanwhile
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// A service answers a long upload early and resets the connection: the caller got the part of the
// answer as a whole one.
func TestAnswerThatIsResetDuringTheUploadIsAnError(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	server := &resetServer{listener: listener}
	go server.run()
	e := fleet.Endpoint{Name: "s", Address: netip.MustParseAddrPort(listener.Addr().String())}
	retryable := newRetryableClient(dialer.From(netip.Addr{}))
	for range 20 {
		req := &Request{ID: "x", Account: "a", Method: http.MethodPost, Path: "/orders", Body: make([]byte, 4<<20)}
		r, err := newRequest(context.Background(), req, e)
		is.NoErr(err)
		_, err = do(retryable, r)
		is.True(err != nil)
		client, err := dialOnce(context.Background(), dialer.From(netip.Addr{}), e.Address)
		is.NoErr(err)
		_, err = client.send(context.Background(), req, e, 1)
		is.True(err != nil)
		client.close()
	}
}

// A service stops at any byte of its response's head and closes: the caller does not get
// what came as a response.
func TestResponseHeadCutInTheMiddleIsAnError(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	server := &cutServer{listener: listener}
	go server.run()
	e := fleet.Endpoint{Name: "s", Address: netip.MustParseAddrPort(listener.Addr().String())}
	retryable := newRetryableClient(dialer.From(netip.Addr{}))
	send := func(written string) (retried, once error) {
		server.mu.Lock()
		server.written = written
		server.mu.Unlock()
		req := &Request{ID: "x", Account: "a", Method: http.MethodGet, Path: "/orders"}
		r, err := newRequest(context.Background(), req, e)
		is.NoErr(err)
		_, retried = do(retryable, r)
		client, err := dialOnce(context.Background(), dialer.From(netip.Addr{}), e.Address)
		is.NoErr(err)
		defer client.close()
		_, once = client.send(context.Background(), req, e, 1)
		return retried, once
	}
	for _, length := range []string{"", "Content-Length: 0\r\n"} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + length + "\r\n"
		for n := range head {
			retried, once := send(head[:n])
			if retried == nil || once == nil {
				t.Errorf("head cut after %q: errors %v, %v", head[:n], retried, once)
			}
		}
		retried, once := send(head)
		is.NoErr(retried)
		is.NoErr(once)
	}
}
