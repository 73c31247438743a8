package httpd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/state/clock"
)

const mebibyte = 1 << 20

// guardedServer is a server with a guard, whose loop runs.
type guardedServer struct {
	*Server
	guard *Guard
}

func startGuarded(t *testing.T, bounds hold.Config, writeTimeout time.Duration, handler http.HandlerFunc) guardedServer {
	t.Helper()
	g := NewGuard(GuardConfig{Clock: clock.New(), Hold: bounds, Logger: hclog.NewNullLogger(), Metrics: metrics.NewSet()})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	s, err := Listen(ctx, Config{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: handler, Clock: clock.New(), Logger: hclog.NewNullLogger(),
		WriteTimeout: writeTimeout, Guard: g, Port: hold.Callers,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return guardedServer{Server: s, guard: g}
}

func bounds(bytes int64) hold.Config {
	return hold.Config{Bytes: bytes, SocketBytes: 32 << 10, MaxConns: map[string]int{hold.Callers: 100}}
}

// echoLength reads the body as the router does and responds with its length.
func echoLength(w http.ResponseWriter, r *http.Request) {
	body, err := LeaseOf(r.Context()).ReadBody(r.Context(), w, r.Body, r.ContentLength, 4*mebibyte)
	switch {
	case errors.Is(err, ErrNoRoom):
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), http.StatusRequestTimeout)
	default:
		_, _ = fmt.Fprintf(w, "%d", len(body))
	}
}

func (s guardedServer) post(t *testing.T, body io.Reader) (int, string) {
	t.Helper()
	resp, err := http.Post("http://"+s.Address().String(), "text/plain", body)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// awaitHeld waits until the held bytes of a kind have a value.
func (s guardedServer) awaitHeld(t *testing.T, k hold.Kind, want int64) {
	t.Helper()
	const timeout = 10 * time.Second
	for until := time.Now().Add(timeout); s.guard.account.Held(k) != want; {
		if time.Now().After(until) {
			t.Fatalf("%d bytes of %s are held, want %d", s.guard.account.Held(k), k, want)
		}
		time.Sleep(time.Millisecond) // polls until the condition holds
	}
}

// Bodies of each length, announced or not, arrive whole, and nothing is held afterwards.
func TestBodiesArriveWhole(t *testing.T) {
	is := is.New(t)
	s := startGuarded(t, bounds(32*mebibyte), 0, echoLength)
	for _, size := range []int{0, 1, 4095, 4096, 4097, 72_000, 4 * mebibyte} {
		text := strings.Repeat("x", size)
		status, got := s.post(t, strings.NewReader(text))
		is.Equal(status, http.StatusOK)
		is.Equal(got, fmt.Sprint(size))
		status, got = s.post(t, struct{ io.Reader }{strings.NewReader(text)}) // without a length
		is.Equal(status, http.StatusOK)
		is.Equal(got, fmt.Sprint(size))
	}
	status, _ := s.post(t, strings.NewReader(strings.Repeat("x", 4*mebibyte+1)))
	is.Equal(status, http.StatusRequestTimeout) // any error of the handler above
	for _, k := range []hold.Kind{hold.Bodies, hold.Requests, hold.Heads, hold.Responses} {
		s.awaitHeld(t, k, 0)
	}
}

// A body for which there is no room is refused, and it is not served later.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	is := is.New(t)
	s := startGuarded(t, bounds(2*mebibyte), 0, echoLength)
	status, _ := s.post(t, strings.NewReader(strings.Repeat("x", 4*mebibyte)))
	is.Equal(status, http.StatusServiceUnavailable)
	s.awaitHeld(t, hold.Bodies, 0)
	status, _ = s.post(t, strings.NewReader(strings.Repeat("x", 72_000)))
	is.Equal(status, http.StatusOK)
}

// An unfinished body gives way to another request, and its client is told that it has not run.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	s := startGuarded(t, bounds(4*mebibyte), 0, echoLength)
	stalled := dial(t, s.Address())
	_, err := io.WriteString(stalled, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2097152\r\n\r\n"+strings.Repeat("x", 2097142))
	is.NoErr(err)
	s.awaitHeld(t, hold.Bodies, 2097153)
	status, _ := s.post(t, strings.NewReader(strings.Repeat("x", 2*mebibyte)))
	is.Equal(status, http.StatusOK)
	resp, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Close)
}

// A client reads its response slowly, with pauses shorter than the write timeout, and much more
// slowly than the response is written. It gets the whole response.
func TestSlowReaderGetsTheWholeResponse(t *testing.T) {
	is := is.New(t)
	const size = mebibyte
	s := startGuarded(t, bounds(32*mebibyte), 400*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	})
	conn := dial(t, s.Address())
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(32 << 10))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	got := 0
	started := time.Now()
	for buf := make([]byte, 8<<10); ; {
		n, err := resp.Body.Read(buf)
		got += n
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		if got < size/4 {
			time.Sleep(50 * time.Millisecond) // the pauses of the slow client
		}
	}
	is.Equal(got, size)
	is.True(time.Since(started) > 400*time.Millisecond) // longer than one write may take
}

// A client that takes nothing of its response doesn't hold the request for ever.
func TestWriteToStalledReaderFails(t *testing.T) {
	is := is.New(t)
	failed := make(chan error, 1)
	s := startGuarded(t, bounds(32*mebibyte), 100*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
		var err error
		for block := make([]byte, 64<<10); err == nil; {
			_, err = w.Write(block)
		}
		failed <- err
	})
	conn := dial(t, s.Address())
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	select {
	case err := <-failed:
		is.True(err != nil)
	case <-time.After(20 * time.Second):
		t.Fatal("a write that the client does not take did not fail")
	}
}

// A request that is complete stays in progress for longer than a body may pause, beside others
// that need its memory.
func TestServedRequestIsNotEnded(t *testing.T) {
	is := is.New(t)
	var ended atomic.Bool
	release, begun := make(chan struct{}), make(chan struct{}, 1)
	s := startGuarded(t, bounds(4*mebibyte), 0, func(w http.ResponseWriter, r *http.Request) {
		echoLength(w, r)
		if r.URL.Path == "/slow" {
			begun <- struct{}{}
			select {
			case <-release:
			case <-r.Context().Done():
				ended.Store(true)
			}
		}
	})
	conn := dial(t, s.Address())
	_, err := io.WriteString(conn, "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n"+strings.Repeat("x", mebibyte))
	is.NoErr(err)
	<-begun
	time.Sleep(2500 * time.Millisecond) // longer than an incomplete request may pause
	status, _ := s.post(t, strings.NewReader(strings.Repeat("x", 4*mebibyte)))
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(!ended.Load())
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}
