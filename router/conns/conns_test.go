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

// server runs script on each connection and counts the requests that it reads.
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

func own(h http.Header, id string) bool { return h.Get("Id") == id }

func message(id string) conns.Request {
	return conns.Request{ID: id, Method: "POST", URI: "/p?q", Host: "h", Header: http.Header{}, Body: []byte("body"), Once: true}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func say(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func get(p *conns.Pool, to conns.Target, id string) (string, error) {
	reply, err := p.Send(context.Background(), to, message(id), own)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := io.ReadAll(reply)
	return string(body), err
}

func TestAChannelIsKept(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, n int) { say(conn, answer(fmt.Sprint(n), "ok")) })
	p := pool(t)
	for n := 1; n <= 3; n++ {
		body, err := get(p, s.target(), fmt.Sprint(n))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(p.Opened(), int64(1))
}

func TestOneSendIsOneSend(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, n int) {
		if n == 1 {
			say(conn, answer("1", "ok"))
			return
		}
		_ = conn.Close() // the request was read, and no answer comes
	})
	p := pool(t)
	_, err := get(p, s.target(), "1")
	is.NoErr(err)
	_, err = get(p, s.target(), "2")
	is.True(err != nil)
	is.True(!conns.IsErrUnsent(err)) // it may have run
	is.Equal(s.requests.Load(), int64(2))
}

func TestNothingListensMeansUnsent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	to := conns.Target{Address: netip.MustParseAddrPort(l.Addr().String())}
	is.NoErr(l.Close())
	_, err = get(pool(t), to, "1")
	is.True(conns.IsErrUnsent(err))
}

func TestASecondAnswerBelongsToNobody(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, n int) { say(conn, answer(fmt.Sprint(n), "ok")+answer("extra", "bad")) })
	p := pool(t)
	for n := 1; n <= 4; n++ {
		body, err := get(p, s.target(), fmt.Sprint(n))
		is.NoErr(err)
		is.Equal(body, "ok")
	}
}

func TestALateAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, _ int) { say(conn, answer("late", "bad")+answer("1", "ok")) })
	body, err := get(pool(t), s.target(), "1")
	is.NoErr(err)
	is.Equal(body, "ok")
}

func TestACutBodyIsNotWhole(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, _ int) {
		say(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf")
		_ = conn.Close()
	})
	_, err := get(pool(t), s.target(), "1")
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

func TestBytesThatAreNoAnswerAreAnError(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, _ int) {
		say(conn, "\x00\x01 not an answer\r\n\r\n")
		_ = conn.Close()
	})
	_, err := get(pool(t), s.target(), "1")
	is.True(err != nil)
	is.True(!conns.IsErrUnsent(err))
}

func TestAnAnswerWithoutLengthEndsWithItsChannel(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, n int) {
		say(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %d\r\n\r\nall", n))
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

func TestTheEndpointSeesTheClientLeave(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	s := serve(t, func(conn net.Conn, _ int) {
		var one [1]byte
		_, _ = conn.Read(one[:])
		close(left)
	})
	ctx, cancel := context.WithCancel(context.Background())
	p := pool(t)
	done := make(chan error, 1)
	go func() {
		_, err := p.Send(ctx, s.target(), message("1"), own)
		done <- err
	}()
	for s.requests.Load() == 0 {
		time.Sleep(time.Millisecond) // the request has to be on its way before the client leaves
	}
	cancel()
	is.True(errors.Is(<-done, context.Canceled))
	<-left
}

func TestChannelsOfGoneEndpointsAreClosed(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, n int) { say(conn, answer(fmt.Sprint(n), "ok")) })
	p := pool(t)
	_, err := get(p, s.target(), "1")
	is.NoErr(err)
	p.Sweep(func(conns.Target) bool { return false })
	_, err = get(p, s.target(), "2")
	is.NoErr(err)
	is.Equal(p.Opened(), int64(2))
}
