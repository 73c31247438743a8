package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"time"
)

// client is a stand-in of a client with one channel.
type client struct {
	addr    string
	timeout time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is set if there is no complete answer.
	err error
}

func newClient(addr string, timeout time.Duration) *client { return &client{addr, timeout} }

// do sends one request on a new channel and reads the whole answer.
func (c *client) do(method, path, host string, header map[string]string, body []byte) answer {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.timeout))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n", method, path, host)
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", name, header[name])
	}
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if _, err := conn.Write(append(b.Bytes(), body...)); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	raw, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, raw, err}
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, %d bytes, seal %q", a.status, len(a.body), a.header.Get("X-Response-Seal"))
}
