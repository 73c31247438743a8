package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cicadastand.dev/core/state/clock"
)

var errStillWaiting = errors.New("connections still wait to be accepted")

const (
	// acceptTimeout limits the wait until all established connections are accepted, and
	// acceptInterval is the time between checks.
	acceptTimeout  = 500 * time.Millisecond
	acceptInterval = time.Millisecond
	// closeDelay is how long a connection is read after its end was sent. A request that
	// crosses that end arrives within this time.
	closeDelay = 100 * time.Millisecond
)

// listener accepts connections for a Server. When the server stops, connections that
// clients have established are accepted before the listener closes, and connections
// are closed so that a request which crosses the close gets the end of the connection
// instead of a reset: clients take that as proof that the request was not read.
type listener struct {
	*net.TCPListener
	clock    clock.Service
	stopping atomic.Bool
	// closing counts the connections that are being closed.
	closing sync.WaitGroup
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &serverConn{TCPConn: c, l: l}, nil
}

// drain waits until the established connections are accepted. A connection that is
// established between its last check and the close of the listener is still reset.
func (l *listener) drain(ctx context.Context) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return fmt.Errorf("access listener: %w", err)
	}
	deadline := l.clock.Now().Add(acceptTimeout)
	for l.clock.Now().Before(deadline) {
		waiting, err := hasWaitingConn(raw)
		if err != nil || !waiting {
			return err
		}
		if err := clock.Sleep(ctx, l.clock, acceptInterval); err != nil {
			return fmt.Errorf("wait for connections to be accepted: %w", err)
		}
	}
	return errStillWaiting
}

// hasWaitingConn reports whether an established connection is not accepted yet.
func hasWaitingConn(raw syscall.RawConn) (bool, error) {
	var ready int
	var result error
	if err := raw.Control(func(fd uintptr) {
		ready, result = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	}); err != nil {
		return false, fmt.Errorf("access listener: %w", err)
	}
	if result != nil {
		return false, fmt.Errorf("poll listener: %w", result)
	}
	return ready > 0, nil
}

// serverConn is an accepted connection.
type serverConn struct {
	*net.TCPConn
	l      *listener
	closed atomic.Bool
}

// Read implements net.Conn. After Close it returns no data, so that no request is served
// whose response could not be sent.
func (c *serverConn) Read(to []byte) (int, error) {
	n, err := c.TCPConn.Read(to)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	// A read deadline in the past makes a blocked Read return.
	if !c.l.stopping.Load() || c.CloseWrite() != nil || c.SetReadDeadline(time.Unix(1, 0)) != nil {
		return c.TCPConn.Close()
	}
	c.l.closing.Add(1)
	go c.run()
	return nil
}

// run discards what crosses the end of the connection, since a close with unread bytes
// resets the connection.
func (c *serverConn) run() {
	defer c.l.closing.Done()
	// Without a context, Sleep returns no error.
	_ = clock.Sleep(context.Background(), c.l.clock, acceptInterval)
	err := c.SetReadDeadline(c.l.clock.Now().Add(closeDelay))
	for discard := make([]byte, 4<<10); err == nil; {
		_, err = c.TCPConn.Read(discard)
	}
	_ = c.TCPConn.Close()
}
