package dialer

import (
	"context"
	"net"
	"sync/atomic"
)

// Counted returns a dialer whose connections add the bytes that they receive to a count.
func Counted(dial Func, received *atomic.Int64) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, received: received}, nil
	}
}

type countedConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	c.received.Add(int64(n))
	return n, err
}
