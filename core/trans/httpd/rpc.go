package httpd

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
	"weak"

	"github.com/samber/lo"
	"google.golang.org/grpc"
	"google.golang.org/grpc/experimental"
	"google.golang.org/grpc/mem"

	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/state/clock"
)

const (
	// rpcHandshakeTimeout limits the time until a connection of another host is set up.
	rpcHandshakeTimeout = 5 * time.Second
	// maxRPCHeader limits the header list of a call. That of a forwarded request is in its
	// message.
	maxRPCHeader = 16 << 10
	// maxRPCStreams limits the calls in progress on one connection. All requests of a host
	// that is cut off from its endpoints may go through one connection.
	maxRPCStreams = 1000
	// messageWait is how long connections are not read while incomplete messages take more
	// than their memory, before the connection that received the most is ended.
	messageWait = 500 * time.Millisecond
	// recentTime is the time after which half of what a connection received is forgotten.
	recentTime = 5 * time.Second
)

// RPC returns a listener for a gRPC server and options of that server, which bound its
// connections and the memory of messages that are not complete.
func (g *Guard) RPC(l net.Listener, port string, maxMessages int64) (net.Listener, []grpc.ServerOption) {
	pool := newMessagePool(maxMessages)
	g.cfg.Metrics.NewGauge(`cicada_held_bytes{kind="messages",port="`+port+`"}`, func() float64 { return float64(pool.held.Load()) })
	return &rpcListener{Listener: l, guard: g, port: port, pool: pool, conns: make(map[*rpcConn]struct{})}, []grpc.ServerOption{
		experimental.BufferPool(pool),
		grpc.ConnectionTimeout(rpcHandshakeTimeout),
		grpc.MaxHeaderListSize(maxRPCHeader),
		grpc.MaxConcurrentStreams(maxRPCStreams),
		grpc.MaxRecvMsgSize(int(maxMessages)),
	}
}

// messagePool counts the bytes of received messages that are not complete. The gRPC server does
// not return the buffers of calls that ended early: they count until they are collected.
type messagePool struct {
	mem.BufferPool
	max  int64
	held atomic.Int64

	mu sync.Mutex
	// taken holds the buffers that were not returned. Weak pointers let them be collected.
	taken map[weak.Pointer[[]byte]]runtime.Cleanup
	// collected is when this pool last ran the garbage collector.
	collected time.Duration
}

func newMessagePool(maxBytes int64) *messagePool {
	return &messagePool{BufferPool: mem.DefaultBufferPool(), max: maxBytes, taken: make(map[weak.Pointer[[]byte]]runtime.Cleanup)}
}

// Get implements mem.BufferPool.
func (p *messagePool) Get(length int) *[]byte {
	b := p.BufferPool.Get(length)
	key, size := weak.Make(b), int64(cap(*b))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held.Add(size)
	p.taken[key] = runtime.AddCleanup(b, func(size int64) { p.remove(key, size) }, size)
	return b
}

// Put implements mem.BufferPool.
func (p *messagePool) Put(b *[]byte) {
	p.remove(weak.Make(b), int64(cap(*b)))
	p.BufferPool.Put(b)
}

func (p *messagePool) remove(key weak.Pointer[[]byte], size int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cleanup, ok := p.taken[key]; ok {
		cleanup.Stop()
		delete(p.taken, key)
		p.held.Add(-size)
	}
}

// collectInterval is the least time between two runs of the garbage collector for the pool.
const collectInterval = time.Second

// collect runs the garbage collector, since buffers may have been dropped.
func (p *messagePool) collect(now time.Duration) {
	p.mu.Lock()
	due := now-p.collected >= collectInterval
	if due {
		p.collected = now
	}
	p.mu.Unlock()
	if due {
		runtime.GC()
	}
}

// rpcListener accepts connections for a gRPC server.
type rpcListener struct {
	net.Listener
	guard *Guard
	port  string
	pool  *messagePool

	mu    sync.Mutex
	conns map[*rpcConn]struct{}
	// fullSince is when incomplete messages began to take more than their memory, or a
	// connection was last ended for it; 0 if they don't.
	fullSince time.Duration
}

// relieve ends the connection that received the most if incomplete messages take too much
// memory for some time. It reports false if they don't.
func (l *rpcListener) relieve(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pool.held.Load() <= l.pool.max {
		l.fullSince = 0
		return false
	}
	if l.fullSince == 0 {
		l.fullSince = now
	}
	if now-l.fullSince < messageWait || len(l.conns) == 0 {
		return true
	}
	l.fullSince = now
	heaviest := lo.MaxBy(lo.Keys(l.conns), func(a, b *rpcConn) bool { return a.received > b.received })
	delete(l.conns, heaviest)
	l.guard.record(hold.NoRoom, l.port, "client", heaviest.RemoteAddr().String(), "kind", "messages", "bytes", heaviest.received)
	_ = heaviest.Conn.Close()
	return true
}

// Accept implements net.Listener.
func (l *rpcListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		rc := &rpcConn{Conn: c, l: l}
		address, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		holder, victims, ok := l.guard.account.OpenConn(l.port, address, l.guard.cfg.Clock.Boot(), rc.evict)
		l.guard.end(victims)
		if ok {
			rc.holder = holder
			l.mu.Lock()
			l.conns[rc] = struct{}{}
			l.mu.Unlock()
			return rc, nil
		}
		l.guard.record(hold.NoConn, l.port, "client", address)
		_ = c.Close()
	}
}

// rpcConn is a connection of another host.
type rpcConn struct {
	net.Conn
	l      *rpcListener
	holder *hold.Holder

	// received is the number of bytes that were received lately, and since when half of them
	// were last forgotten. They are guarded by the mutex of the listener.
	received int64
	since    time.Duration
}

func (c *rpcConn) evict(hold.Reason) { _ = c.Close() }

// Close implements net.Conn.
func (c *rpcConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	c.l.guard.account.Close(c.holder)
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close connection: %w", err)
	}
	return nil
}

// Read implements net.Conn. While incomplete messages take too much memory, it waits.
func (c *rpcConn) Read(to []byte) (int, error) {
	g := c.l.guard
	n, err := c.Conn.Read(to)
	if n == 0 {
		return n, err
	}
	now := g.cfg.Clock.Boot()
	g.account.SetPhase(c.holder, hold.Idle, now)
	c.count(int64(n), now)
	for until := now + 2*messageWait; now < until && c.l.relieve(now); now = g.cfg.Clock.Boot() {
		c.l.pool.collect(now)
		// Without a context, Sleep returns no error.
		_ = clock.Sleep(context.Background(), g.cfg.Clock, roomInterval)
	}
	return n, err
}

// count adds received bytes.
func (c *rpcConn) count(n int64, now time.Duration) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if now-c.since > recentTime {
		c.received, c.since = c.received/2, now
	}
	c.received += n
}
