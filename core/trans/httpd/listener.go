package httpd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cicadastand.dev/core/coord/hold"
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
	// guard is nil if connections are not bounded. port is the name of the port there.
	guard        *Guard
	port         string
	writeTimeout time.Duration
	// closing counts the connections that are being closed.
	closing sync.WaitGroup
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		sc := &serverConn{TCPConn: c, l: l, guard: l.guard, port: l.port}
		if l.guard == nil || sc.register() {
			return sc, nil
		}
		_ = c.Close()
	}
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

// setReadBuffer sets the size of the kernel's receive buffers of accepted connections. They count
// towards the memory of the host and would otherwise grow to several MB each.
func setReadBuffer(l *net.TCPListener, size int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return fmt.Errorf("access listener: %w", err)
	}
	var result error
	if err := raw.Control(func(fd uintptr) {
		result = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	}); err != nil {
		return fmt.Errorf("access listener: %w", err)
	}
	if result != nil {
		return fmt.Errorf("set receive buffer: %w", result)
	}
	return nil
}

// serverConn is an accepted connection.
type serverConn struct {
	*net.TCPConn
	l      *listener
	closed atomic.Bool

	guard  *Guard
	port   string
	holder *hold.Holder
	// sendBytes is the size of the send buffer; 0 if the kernel chooses it. Only one goroutine
	// writes at a time.
	sendBytes int
	// drains is set if the connection is closed so that a request which crosses its end is
	// not reset.
	drains  atomic.Bool
	evicted atomic.Pointer[hold.Reason]
}

const (
	// maxSendBytes is the size up to which the kernel's send buffer of a connection grows, if
	// there is memory, while its client reads slowly: endpoints cut off responses that stay
	// unread.
	maxSendBytes = 256 << 10
	// growAfter is how long a write blocks before the send buffer grows, and checkInterval the
	// time between checks whether the client takes anything.
	growAfter     = 50 * time.Millisecond
	checkInterval = time.Second
)

// lease returns a lease of the request on the connection.
func (c *serverConn) lease() *Lease {
	return &Lease{guard: c.guard, holder: c.holder, port: c.port, evicted: &c.evicted}
}

// register adds the connection to the account of the guard. It reports false if there is no
// room for it.
func (c *serverConn) register() bool {
	g := c.guard
	address, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	holder, victims, ok := g.account.OpenConn(c.port, address, g.cfg.Clock.Boot(), c.evict)
	g.end(victims)
	if !ok {
		g.record(hold.NoConn, c.port, "client", address)
		return false
	}
	c.holder = holder
	if c.sendBytes = g.cfg.Hold.SocketBytes; c.sendBytes > 0 {
		if err := c.SetWriteBuffer(c.sendBytes); err != nil {
			g.cfg.Logger.Debug("failed to set the buffer size of a connection", "error", err)
		}
	}
	return true
}

// evict ends the connection. A request whose body is being read gets a response first.
func (c *serverConn) evict(r hold.Reason) {
	c.evicted.Store(&r)
	phase := c.guard.account.PhaseOf(c.holder)
	if phase == hold.Idle {
		// A request may cross the end of the connection.
		c.drains.Store(true)
	}
	if phase == hold.Served {
		// The client takes nothing of its response. The write in progress fails.
		if err := c.SetWriteDeadline(time.Unix(1, 0)); err == nil {
			return
		}
	}
	if phase == hold.Body {
		if err := c.SetReadDeadline(time.Unix(1, 0)); err == nil {
			return
		}
	}
	_ = c.Close()
}

var errEvicted = errors.New("the connection was ended")

// Read implements net.Conn. After Close it returns no data, so that no request is served
// whose response could not be sent.
func (c *serverConn) Read(to []byte) (int, error) {
	n, err := c.TCPConn.Read(to)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	if c.guard == nil || n == 0 {
		return n, err
	}
	g := c.guard
	if g.account.Received(c.holder, n, g.cfg.Clock.Boot()) != hold.Head {
		return n, err
	}
	cost := int64(hold.HeadFactor*n + hold.LineBytes*bytes.Count(to[:n], []byte{'\n'}))
	if err := c.lease().Take(context.Background(), hold.Heads, cost); err != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errEvicted}
	}
	return n, err
}

// Write implements net.Conn. It fails if the client takes no byte within the write timeout. A
// client that reads slowly is served to the end.
func (c *serverConn) Write(from []byte) (int, error) {
	if c.l == nil || c.l.writeTimeout <= 0 {
		return c.TCPConn.Write(from)
	}
	written, unsent := 0, c.unsent()
	progress, blocked := c.l.clock.Now(), false
	for {
		wait := min(checkInterval, c.l.writeTimeout)
		if c.mayGrow() {
			wait = min(wait, growAfter)
		}
		if err := c.SetWriteDeadline(c.l.clock.Now().Add(wait)); err != nil {
			return written, fmt.Errorf("set write deadline: %w", err)
		}
		n, err := c.TCPConn.Write(from[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			if blocked {
				c.setUnread(0)
			}
			return written, err
		}
		blocked = true
		now, left := c.l.clock.Now(), c.unsent()
		if n > 0 || left < unsent {
			progress = now
		}
		unsent = left
		if c.evicted.Load() != nil {
			return written, err
		}
		c.setUnread(now.Sub(progress))
		if c.mayGrow() && c.grow() {
			continue
		}
		if now.Sub(progress) >= c.l.writeTimeout {
			if c.guard != nil {
				c.guard.record(hold.Unread, c.port, "client", c.RemoteAddr().String())
			}
			return written, err
		}
	}
}

// setUnread records for how long the client has taken nothing.
func (c *serverConn) setUnread(pause time.Duration) {
	switch {
	case c.guard == nil:
	case pause == 0:
		c.guard.account.SetRead(c.holder)
	default:
		c.guard.account.SetUnread(c.holder, c.guard.cfg.Clock.Boot()-pause)
	}
}

func (c *serverConn) mayGrow() bool { return c.sendBytes > 0 && c.sendBytes < maxSendBytes }

// grow doubles the send buffer if there is memory. It reports false if there is none.
func (c *serverConn) grow() bool {
	if !c.guard.account.TakeSpare(c.holder, hold.Conns, int64(c.sendBytes)) {
		return false
	}
	c.sendBytes *= 2
	if err := c.SetWriteBuffer(c.sendBytes); err != nil {
		c.guard.cfg.Logger.Debug("failed to set the buffer size of a connection", "error", err)
		return false
	}
	return true
}

// unsent returns the number of bytes that were written and that the client has not taken.
func (c *serverConn) unsent() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = queued
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// ReadFrom implements io.ReaderFrom. Its data passes Write, which checks the progress.
func (c *serverConn) ReadFrom(src io.Reader) (int64, error) {
	n, err := io.Copy(struct{ io.Writer }{c}, src)
	if err != nil {
		return n, fmt.Errorf("copy to client: %w", err)
	}
	return n, nil
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if c.holder != nil {
		c.guard.account.Close(c.holder)
	}
	// A read deadline in the past makes a blocked Read return.
	if !c.l.stopping.Load() && !c.drains.Load() || c.CloseWrite() != nil || c.SetReadDeadline(time.Unix(1, 0)) != nil {
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
