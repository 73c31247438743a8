package conns_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/router/conns"
)

// endless writes a text again and again until the caller closes the connection, and
// reports how many bytes it wrote.
func endless(prefix, text string) (script func(net.Conn, int), written chan int) {
	written = make(chan int, 1)
	return func(conn net.Conn, _ int) {
		block := []byte(strings.Repeat(text, 64<<10/len(text)))
		n, err := io.WriteString(conn, prefix)
		for total := n; ; total += n {
			if err != nil || total > 1<<30 {
				written <- total
				return
			}
			n, err = conn.Write(block)
		}
	}, written
}

// A faulty endpoint sends bytes that are no response without end. The caller closes the
// connection after a bounded number of bytes, long before the request times out.
func TestEndlessHeadIsAnError(t *testing.T) {
	const maxRead = 8 << 20 // what the sockets may buffer, included
	for name, parts := range map[string][2]string{
		"status line":   {"HTTP/1.1 ", "x"},
		"header line":   {"HTTP/1.1 200 OK\r\nId: ", "x"},
		"header lines":  {"HTTP/1.1 200 OK\r\n", "X-Padding: padding\r\n"},
		"interim heads": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"other answers": {"", response("other", "body")},
		"no protocol":   {"", "\x00\xff\x7f"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			script, written := endless(parts[0], parts[1])
			s := serve(t, script)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := pool(t).Send(ctx, s.target(), request("1"), isResponseTo)
			is.True(err != nil)
			is.NoErr(ctx.Err())
			is.True(!conns.IsErrUnsent(err)) // the request may have run
			is.True(<-written < maxRead)
		})
	}
}

// A response body that does not end must not hold the caller that only wants to reuse the
// connection.
func TestDrainOfEndlessBodyIsBounded(t *testing.T) {
	is := is.New(t)
	script, written := endless("HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n")
	s := serve(t, script)
	p := pool(t)
	resp, err := p.Send(context.Background(), s.target(), request("1"), isResponseTo)
	is.NoErr(err)
	is.True(resp.Drain() != nil)
	resp.Close()
	is.True(<-written < 8<<20)

	silent := serve(t, func(conn net.Conn, _ int) {
		write(conn, "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 10\r\n\r\nbody")
	})
	resp, err = p.Send(context.Background(), silent.target(), request("1"), isResponseTo)
	is.NoErr(err)
	started := time.Now()
	is.True(resp.Drain() != nil) // the rest of the body does not come
	resp.Close()
	is.True(time.Since(started) < 5*time.Second)
}

// After a response, an endpoint sends a second copy of it on the kept connection. The
// next caller must not get it.
func TestLateCopyIsNotTheNextAnswer(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(conn net.Conn, n int) {
		if n == 2 {
			write(conn, response("1", "copy")) // the first answer again, when the second is due
			write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nunnamed")
		}
		write(conn, response([]string{"", "1", "2"}[n], "own"))
	})
	p := pool(t)
	for _, id := range []string{"1", "2"} {
		body, err := get(p, s.target(), id)
		is.NoErr(err)
		is.Equal(body, "own")
	}
}

// An endpoint sends bytes without end on a connection that is idle. They count as memory of
// the host, so the connection does not wait for its next use.
func TestSweepClosesIdleConnectionsWithUnreadBytes(t *testing.T) {
	is := is.New(t)
	idle := make(chan struct{})
	sending := make(chan struct{})
	closed := make(chan error, 1)
	s := serve(t, func(conn net.Conn, _ int) {
		write(conn, response("1", "own"))
		<-idle
		_, err := conn.Write([]byte("x"))
		close(sending)
		block := make([]byte, 64<<10)
		for err == nil {
			_, err = conn.Write(block)
		}
		closed <- err
	})
	p := pool(t)
	_, err := get(p, s.target(), "1")
	is.NoErr(err)
	close(idle)
	<-sending
	p.Sweep(func(conns.Target) bool { return true })
	select {
	case err := <-closed:
		is.True(err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open")
	}
}
