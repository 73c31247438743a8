package conns_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"cicadastand.dev/core/trans/httpc"
	"cicadastand.dev/router/conns"
)

// An endpoint stops in the middle of the head of its response and closes the connection. The
// part of the head is no response, with or without a length.
func TestPartOfAHeadIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 1234\r\n\r\n",
		"chunks":    "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no-length": "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\n\r\n",
		"interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(head) {
				s := serve(t, func(conn net.Conn, _ int) {
					write(conn, head[:n])
					_ = conn.Close()
				})
				resp, err := pool(t).Send(context.Background(), s.target(), request("r"), isResponseTo)
				if err != nil {
					continue
				}
				body, err := io.ReadAll(resp)
				resp.Close()
				t.Errorf("%q: status %d, body %q, error %v", strings.ToValidUTF8(head[:n], ""), resp.Status, body, err)
			}
		})
	}
}

// earlyEndpoint answers the head of each request with fixed bytes, and resets the connection after a
// pause if that is set.
type earlyEndpoint struct {
	listener net.Listener
	answer   string
	pause    time.Duration
	resets   bool
	// holds is set if the connection stays open until the other side closes it.
	holds bool
}

func (e *earlyEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.loop(conn)
	}
}

func (e *earlyEndpoint) loop(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, e.answer)
	if e.holds {
		_, _ = io.Copy(io.Discard, conn)
	}
	time.Sleep(e.pause) // the upload goes on meanwhile
	if tcp, ok := conn.(*net.TCPConn); ok && e.resets {
		_ = tcp.SetLinger(0)
	}
}

func startEarly(t *testing.T, e *earlyEndpoint) conns.Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e.listener = l
	go e.run()
	return conns.Target{Incarnation: "i", Address: netip.MustParseAddrPort(l.Addr().String())}
}

// An endpoint in trouble sends a status that no response can have, and keeps the connection open. That
// was taken for an interim response, after which another one is awaited, or passed on.
func TestStatusOutsideTheProtocolIsAnErrorAtOnce(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			to := startEarly(t, &earlyEndpoint{answer: "HTTP/1.1 " + status + " Odd\r\nId: r\r\nContent-Length: 2\r\n\r\nok", holds: true})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := pool(t).Send(ctx, to, request("r"), isResponseTo)
			var invalid *httpc.ErrStatus
			if !errors.As(err, &invalid) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// An endpoint answers a long upload at once, without a length, and resets the connection after a part
// of the body. The part is not complete.
func TestPartOfABodyIsNotCompleteIfTheUploadIsReset(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		to := startEarly(t, &earlyEndpoint{answer: "HTTP/1.1 200 OK\r\nId: r\r\n\r\na part", pause: pause, resets: true})
		for range 20 {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			req := request("r")
			req.Body = make([]byte, 4<<20)
			resp, err := pool(t).Send(ctx, to, req, isResponseTo)
			if err == nil {
				_, err = io.ReadAll(resp)
				resp.Close()
			}
			cancel()
			if err == nil {
				t.Errorf("a part was taken for the whole body, reset after %v", pause)
			}
		}
	}
}
