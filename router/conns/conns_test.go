package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/trans/dialer"
	"cicadastand.dev/router/conns"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server calls script for each request that it reads, with the connection and the
// number of the request.
type server struct {
	listener net.Listener
	requests atomic.Int64
	script   func(conn net.Conn, request int)
}

func serve(t *testing.T, script func(conn net.Conn, request int)) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: l, script: script}
	go s.run()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(conn)
	}
}

func (s *server) loop(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		s.script(conn, int(s.requests.Add(1)))
	}
}

func (s *server) target() conns.Target {
	return conns.Target{Incarnation: "i", Address: netip.MustParseAddrPort(s.listener.Addr().String())}
}

func pool(t *testing.T) *conns.Pool {
	t.Helper()
	p := conns.New(conns.Config{
		Clock: clock.New(), Dial: dialer.From(netip.Addr{}), DialTimeout: time.Second,
		IdleTimeout: time.Minute, OnceIdleTimeout: time.Minute, MaxIdle: 4,
	})
	t.Cleanup(p.Close)
	return p
}

func isResponseTo(h http.Header, id string, reused bool) bool {
	return h.Get("Id") == id || h.Get("Id") == "" && !reused
}

func request(id string) conns.Request {
	return conns.Request{ID: id, Method: "POST", URI: "/p?q", Host: "h", Header: http.Header{}, Body: []byte("body"), Once: true}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func get(p *conns.Pool, to conns.Target, id string) (string, error) {
	resp, err := p.Send(context.Background(), to, request(id), isResponseTo)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, n int) { write(conn, response(fmt.Sprint(n), "ok")) })
	p := pool(t)
	for n := 1; n <= 3; n++ {
		body, err := get(p, s.target(), fmt.Sprint(n))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(p.Opened(), int64(1))
}

// The endpoint closes a reused connection after it has read a request, on which the
// client of the standard library would send the request again.
func TestSendDoesNotRetry(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, n int) {
		if n == 1 {
			write(conn, response("1", "ok"))
			return
		}
		_ = conn.Close() // the request was read and gets no response
	})
	p := pool(t)
	_, err := get(p, s.target(), "1")
	is.NoErr(err)
	_, err = get(p, s.target(), "2")
	is.True(err != nil)
	is.True(!conns.IsErrUnsent(err)) // the endpoint may have run it
	is.Equal(s.requests.Load(), int64(2))
}

func TestRefusedConnectionMeansUnsent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	to := conns.Target{Address: netip.MustParseAddrPort(l.Addr().String())}
	is.NoErr(l.Close())
	_, err = get(pool(t), to, "1")
	is.True(conns.IsErrUnsent(err))
}

// An endpoint that sends two responses to one request must not have the second one
// delivered to the next request on the connection.
func TestExtraResponseIsDropped(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, n int) { write(conn, response(fmt.Sprint(n), "ok")+response("extra", "bad")) })
	p := pool(t)
	for n := 1; n <= 4; n++ {
		body, err := get(p, s.target(), fmt.Sprint(n))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
}

func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, _ int) { write(conn, response("late", "bad")+response("1", "ok")) })
	body, err := get(pool(t), s.target(), "1")
	is.NoErr(err)
	is.Equal(body, "ok")
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, _ int) {
		write(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf")
		_ = conn.Close()
	})
	_, err := get(pool(t), s.target(), "1")
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

func TestMalformedResponseIsAnError(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, _ int) {
		write(conn, "\x00\x01 not an answer\r\n\r\n")
		_ = conn.Close()
	})
	_, err := get(pool(t), s.target(), "1")
	is.True(err != nil)
	is.True(!conns.IsErrUnsent(err))
}

func TestResponseWithoutLengthEndsAtClose(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, n int) {
		write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %d\r\n\r\nall", n))
		_ = conn.Close()
	})
	p := pool(t)
	for n := 1; n <= 2; n++ {
		body, err := get(p, s.target(), fmt.Sprint(n))
		is.NoErr(err)
		is.Equal(body, "all")
	}
	is.Equal(p.Opened(), int64(2))
}

// A client that disconnects cancels the context. The endpoint notices this by the
// closed connection.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := serve(t, func(conn net.Conn, _ int) {
		var one [1]byte
		_, _ = conn.Read(one[:])
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	p := pool(t)
	done := make(chan error, 1)
	go func() {
		_, err := p.Send(ctx, s.target(), request("1"), isResponseTo)
		done <- err
	}()
	for s.requests.Load() == 0 {
		time.Sleep(time.Millisecond) // cancel only after the request was received
	}
	cancel()
	is.True(errors.Is(<-done, context.Canceled))
	<-closed
}

func TestSweepClosesConnectionsOfRemovedEndpoints(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, n int) { write(conn, response(fmt.Sprint(n), "ok")) })
	p := pool(t)
	_, err := get(p, s.target(), "1")
	is.NoErr(err)
	p.Sweep(func(conns.Target) bool { return false })
	_, err = get(p, s.target(), "2")
	is.NoErr(err)
	is.Equal(p.Opened(), int64(2))
}
