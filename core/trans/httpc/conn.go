package httpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"cicadastand.dev/core/trans/dialer"
)

// conn is a connection whose end is not reported as a regular one after a write has failed. The
// kernel reports a reset once: if a write gets it, the next read finds the end of the stream. A
// response without a length would then seem complete.
type conn struct {
	net.Conn
	// mu is held during writes.
	mu       sync.Mutex
	writeErr error
}

// withWriteErrors returns a dialer whose connections report failed writes to readers too.
func withWriteErrors(dial dialer.Func) dialer.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write in progress may have got the reset.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return n, fmt.Errorf("connection ended after a failed write: %w", c.writeErr)
	}
	return n, err
}
