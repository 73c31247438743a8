package suite

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// sendTimeout bounds what one client of a crowd sends: a host may stop reading.
	sendTimeout = 5 * time.Second
	// manyConns is the number of connections that need few bytes each: more than the
	// descriptors of the host, and fewer than what the test process may open.
	manyConns = 1200
)

// crowd is a number of clients that send something at once and then leave their connections
// open.
type crowd struct {
	name    string
	clients int
	// port chooses the port; nil for that of callers.
	port func(*hostUnderTest) string
	// receiveBuffer is the size of the clients' receive buffers; 0 for the default.
	receiveBuffer int
	// send sends what one client sends. Errors are expected, since the host may refuse.
	send func(h *hostUnderTest, conn net.Conn) error
}

// crowds are what clients outside the limits do. Each names the resource that it takes.
var crowds = []crowd{
	// A map of header lines takes many times the bytes of the lines.
	{name: "short-header-lines", clients: 450, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendAll(conn, unfinished(fillHead(h.order, func(i int) string { return fmt.Sprintf("%s:\r\n", lineName(i)) })))
	}},
	{name: "odd-header-lines", clients: 450, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendAll(conn, unfinished(fillHead(h.order, func(i int) string { return []string{"a:\r\n", "Connection: x,,,\r\n", "Te: ;;\r\n", "b: ,\r\n"}[i%4] })))
	}},
	{name: "endless-heads", clients: 300, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendEndlessly(conn, h.order, "X-Filler: 0123456789abcdef\r\n")
	}},
	{name: "endless-header-line", clients: 300, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendEndlessly(conn, h.order+"X-Filler: ", "0123456789abcdef")
	}},
	{name: "endless-empty-lines", clients: 300, send: func(_ *hostUnderTest, conn net.Conn) error {
		return sendEndlessly(conn, "", "\r\n")
	}},
	// The host buffers whole bodies before it sends them to an endpoint.
	{name: "bodies-without-end-at-once", clients: 60, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendAll(conn, longHead(h), strings.Repeat(" ", maxBody-10))
	}},
	{name: "bodies-without-end-in-pieces", clients: 60, send: func(h *hostUnderTest, conn net.Conn) error {
		const pieces = 40
		if err := sendAll(conn, longHead(h)); err != nil {
			return err
		}
		for range pieces {
			if err := sendAll(conn, strings.Repeat(" ", (maxBody-10)/pieces)); err != nil {
				return err
			}
			time.Sleep(10 * time.Millisecond) // all bodies grow at the same time
		}
		return nil
	}},
	{name: "whole-bodies-at-once", clients: 60, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendAll(conn, longHead(h), strings.Repeat(" ", maxBody))
	}},
	{name: "small-chunks", clients: 100, send: func(h *hostUnderTest, conn net.Conn) error {
		const chunks = 200_000
		return sendAll(conn, chunkedHead(h), strings.Repeat("1\r\n \r\n", chunks))
	}},
	{name: "trailers", clients: 300, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendEndlessly(conn, chunkedHead(h)+"1\r\n \r\n0\r\n", "X-Filler: 0123456789abcdef\r\n")
	}},
	{name: "chunk-extensions", clients: 300, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendEndlessly(conn, chunkedHead(h), "1;extension=0123456789abcdef\r\n \r\n")
	}},
	// Connections take descriptors also if their clients send nothing.
	{name: "expect-continue", clients: manyConns, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendAll(conn, h.order+"Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n")
	}},
	{name: "silent-connections", clients: manyConns, send: func(*hostUnderTest, net.Conn) error { return nil }},
	{name: "pipelined-requests", clients: 200, receiveBuffer: 4 << 10, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendEndlessly(conn, "", withBody(h.order, strings.Repeat(h.orderBody, 1)+strings.Repeat(" ", 200<<10)))
	}},
	{name: "heads-over-the-limit", clients: 300, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendAll(conn, h.order+"X-Filler: "+strings.Repeat("x", 40<<10)+"\r\nContent-Length: 1000\r\n\r\n")
	}},
	{name: "unread-streams", clients: 200, receiveBuffer: 4 << 10, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendAll(conn, withBody(h.stream, h.streamBody))
	}},
	{name: "unread-responses", clients: 200, receiveBuffer: 4 << 10, send: func(h *hostUnderTest, conn net.Conn) error {
		return sendAll(conn, withBody(h.lookup, h.lookupBody))
	}},
	// The ports for other hosts and operators take descriptors and memory of the same process.
	{name: "silent-peers", clients: manyConns, port: func(h *hostUnderTest) string { return h.peers }, send: func(*hostUnderTest, net.Conn) error { return nil }},
	{name: "long-peer-messages", clients: 4, port: func(h *hostUnderTest) string { return h.peers }, send: sendLongMessages},
	{name: "many-peer-messages", clients: 8, port: func(h *hostUnderTest) string { return h.peers }, send: sendManyMessages},
	{name: "silent-operators", clients: manyConns, port: func(h *hostUnderTest) string { return h.others }, send: func(*hostUnderTest, net.Conn) error { return nil }},
	{name: "operators-short-header-lines", clients: 450, port: func(h *hostUnderTest) string { return h.others }, send: func(_ *hostUnderTest, conn net.Conn) error {
		return sendAll(conn, fillHead("POST /v1/changes HTTP/1.1\r\nHost: h\r\n", func(i int) string { return fmt.Sprintf("%s:\r\n", lineName(i)) }))
	}},
}

// A crowd of clients that nobody controls ended router processes: their memory went over the
// limit of the host, or no descriptor was left. Each crowd meets a host of its own.
func TestCrowdAtHostedHost(t *testing.T) { testCrowds(t, startHostedHost) }

// The same with the own mode.
func TestCrowdAtOwnHost(t *testing.T) { testCrowds(t, startOwnHost) }

func testCrowds(t *testing.T, start func(*testing.T, string) *hostUnderTest) {
	program := buildRouter(t)
	for i := range crowds {
		c := &crowds[i]
		t.Run(c.name, func(t *testing.T) {
			h := start(t, program)
			h.awaitServed(t, "the first request", h.orderBody)
			conns := c.run(t, h)
			h.checkWithinLimits(t)
			h.awaitServed(t, "an ordinary request beside the crowd", h.orderBody)
			h.checkWithinLimits(t)
			for _, conn := range conns {
				_ = conn.Close()
			}
			h.awaitServed(t, "the largest legal request after the crowd", h.orderBody+strings.Repeat(" ", maxBody-len(h.orderBody)))
			h.checkWithinLimits(t)
		})
	}
}

// run lets all clients send at once, and returns their connections.
func (c *crowd) run(t *testing.T, h *hostUnderTest) []net.Conn {
	t.Helper()
	address := h.callers
	if c.port != nil {
		address = c.port(h)
	}
	conns := make([]net.Conn, 0, c.clients)
	t.Cleanup(func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	})
	for range c.clients {
		conn, err := net.DialTimeout("tcp", address, sendTimeout)
		if err != nil {
			t.Logf("connect client %d: %v", len(conns), err)
			break
		}
		conns = append(conns, conn)
		if c.receiveBuffer > 0 {
			if err := conn.(*net.TCPConn).SetReadBuffer(c.receiveBuffer); err != nil {
				t.Fatal(err)
			}
		}
	}
	var done sync.WaitGroup
	for _, conn := range conns {
		done.Add(1)
		client := &crowdClient{crowd: c, host: h, conn: conn, done: &done}
		go client.run()
	}
	done.Wait()
	time.Sleep(time.Second) // the host receives what was sent
	return conns
}

// crowdClient is one client of a crowd.
type crowdClient struct {
	crowd *crowd
	host  *hostUnderTest
	conn  net.Conn
	done  *sync.WaitGroup
}

func (c *crowdClient) run() {
	defer c.done.Done()
	if err := c.conn.SetDeadline(time.Now().Add(sendTimeout)); err != nil {
		return
	}
	// The host may close the connection or stop reading.
	_ = c.crowd.send(c.host, c.conn)
}

func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReader(conn) }

func sendAll(conn net.Conn, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	return nil
}

// sendEndlessly sends a text and then another one again and again until the write fails.
func sendEndlessly(conn net.Conn, first, next string) error {
	const block = 16 << 10
	if _, err := io.WriteString(conn, first); err != nil {
		return err
	}
	for next = strings.Repeat(next, 1+block/len(next)); ; {
		if _, err := io.WriteString(conn, next); err != nil {
			return err
		}
	}
}

// unfinished completes a head and adds a part of a body.
func unfinished(head string) string { return head + "Content-Length: 1000\r\n\r\n0123456789" }

// longHead returns the head of a request with a body of the largest legal size.
func longHead(h *hostUnderTest) string {
	return h.order + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)
}

func chunkedHead(h *hostUnderTest) string { return h.order + "Transfer-Encoding: chunked\r\n\r\n" }

// fillHead adds lines to a head until it has nearly the largest legal size.
func fillHead(head string, line func(i int) string) string {
	const margin = 64
	var b strings.Builder
	b.WriteString(head)
	for i := 0; b.Len() < maxHeader-margin; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

// lineName returns a short name of a header line, different for each number.
func lineName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	return string([]byte{letters[i/676%26], letters[i/26%26], letters[i%26]})
}
