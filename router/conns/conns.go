// Package conns is an HTTP/1.1 client that sends requests to endpoints over a pool
// of persistent connections.
//
// Each call sends the request at most once. The client of the standard library
// retries a request when a reused connection is closed, which could run a
// non-idempotent request twice.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/trans/dialer"
	"cicadastand.dev/core/trans/httpc"
)

const (
	// readBuffer is large enough for a response header and some events.
	readBuffer = 4 << 10
	// maxMismatched is the number of responses to other requests that are skipped
	// before a connection is closed.
	maxMismatched = 2
	// maxDiscard limits the body of a response that is skipped, in bytes.
	maxDiscard = 256 << 10
	// maxInterim limits the number of interim responses before a response.
	maxInterim = 8
	// maxDrain and drainTimeout limit what is read of a response that is not needed, in
	// order to reuse its connection.
	maxDrain     = 64 << 10
	drainTimeout = 100 * time.Millisecond
)

// ErrUnsent is returned if no byte of the request was sent.
type ErrUnsent struct{ Err error }

// Error implements error.
func (e *ErrUnsent) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ErrUnsent) Unwrap() error { return e.Err }

// IsErrUnsent reports whether err wraps an ErrUnsent.
func IsErrUnsent(err error) bool {
	var target *ErrUnsent
	return errors.As(err, &target)
}

// Config holds the settings of a Pool.
type Config struct {
	Clock clock.Service
	Dial  dialer.Func
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection may be reused for requests that can
	// be retried.
	IdleTimeout time.Duration
	// OnceIdleTimeout is how long an idle connection may be reused for requests that
	// must not run twice: if the endpoint has just closed the connection, the outcome
	// of such a request is unknown.
	OnceIdleTimeout time.Duration
	// MaxIdle limits the idle connections per target.
	MaxIdle int
	// MaxIdleTotal limits those of all targets; 0 for no limit.
	MaxIdleTotal int
}

// Target is the endpoint incarnation that a request is sent to. A connection belongs
// to one incarnation, since another one may take over the address.
type Target struct {
	Incarnation string
	Address     netip.AddrPort
}

// Request is a request to an endpoint.
type Request struct {
	ID     string
	Method string
	// URI is the path and the query, unchanged from the client's request.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Once is set for requests that must not run twice.
	Once bool
}

// Pool is a pool of connections to endpoints. It is safe for concurrent use.
//
// Lock order: Pool.mu is a leaf.
type Pool struct {
	cfg  Config
	mu   sync.Mutex
	idle map[Target][]*clientConn
	// idleTotal is the number of connections in idle.
	idleTotal int
	opened    atomic.Int64
	reused    atomic.Int64
}

// New returns an empty Pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, idle: make(map[Target][]*clientConn)} }

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Reused returns how often a connection was reused.
func (p *Pool) Reused() int64 { return p.reused.Load() }

// clientConn is a connection to an endpoint.
type clientConn struct {
	conn   net.Conn
	head   *headLimiter
	reader *bufio.Reader
	target Target
	idleAt time.Time
	// keepAlive is the idle timeout that the endpoint announced; 0 if it did not.
	keepAlive time.Duration
	// reused is set once a request was completed on the connection.
	reused bool
}

// Response is an endpoint's response, whose body has not been read yet. Close must be
// called after use.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
	// Unframed is set if the body ends with its connection, so that nothing tells a whole
	// body from a part of it.
	Unframed   bool
	pool       *Pool
	cc         *clientConn
	resp       *http.Response
	stopCancel func() bool
	complete   bool
}

// IsResponseTo reports whether a response header belongs to the request with an ID.
// reused is set if other requests were sent on the connection before: then the response
// may also be a late copy of one of theirs.
type IsResponseTo func(h http.Header, id string, reused bool) bool

// Send sends a request once and reads the header of the response. If it returns an
// ErrUnsent, the endpoint can't have run the request; after any other error it may
// have.
func (p *Pool) Send(ctx context.Context, to Target, req Request, matches IsResponseTo) (*Response, error) {
	cc, err := p.acquire(ctx, to, req.Once)
	if err != nil {
		return nil, &ErrUnsent{Err: err}
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = cc.conn.Close() })
	fail := func(err error) (*Response, error) {
		stopCancel()
		_ = cc.conn.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	if n, err := cc.send(req); err != nil {
		if n == 0 {
			return fail(&ErrUnsent{Err: err})
		}
		return fail(fmt.Errorf("send request: %w", err))
	}
	resp, err := cc.readResponse(req, matches)
	if err != nil {
		return fail(err)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0, pool: p, cc: cc, resp: resp, stopCancel: stopCancel}, nil
}

// send writes a request. The body is not copied, since it may be large.
func (c *clientConn) send(req Request) (int64, error) {
	parts := net.Buffers{encodeHead(req)}
	if len(req.Body) > 0 {
		parts = append(parts, req.Body)
	}
	return parts.WriteTo(c.conn)
}

// headSize is the usual size of a head.
const headSize = 1 << 10

func encodeHead(req Request) []byte {
	var b bytes.Buffer
	b.Grow(headSize)
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	// Writes to a bytes.Buffer can't fail.
	_ = req.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

var (
	errMismatched  = errors.New("answers on the channel belong to other requests")
	errHeadTooLong = fmt.Errorf("response head is longer than %d bytes", httpc.MaxHead)
	errInterim     = fmt.Errorf("more than %d interim responses", maxInterim)
	errDrain       = errors.New("response body has no end within the limits")
)

// headLimiter reads from a connection. While it is limited, it fails after httpc.MaxHead bytes,
// since an endpoint may send a head without end.
type headLimiter struct {
	conn    net.Conn
	limited bool
	left    int
}

func (l *headLimiter) limit(on bool) { l.limited, l.left = on, httpc.MaxHead }

// Read implements io.Reader.
func (l *headLimiter) Read(to []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(to)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.conn.Read(to[:min(len(to), l.left)])
	l.left -= n
	return n, err
}

// readHead reads the head of a response, which may follow interim ones.
func (c *clientConn) readHead(method string) (*http.Response, error) {
	c.head.limit(true)
	defer c.head.limit(false)
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if httpc.IsInterim(resp.StatusCode) {
			continue
		}
		if err := httpc.CheckStatus(resp.StatusCode); err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		return resp, nil
	}
	return nil, errInterim
}

// readResponse reads responses until the one that belongs to the request.
func (c *clientConn) readResponse(req Request, matches IsResponseTo) (*http.Response, error) {
	for mismatched := 0; mismatched <= maxMismatched; {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, err
		}
		if matches(resp.Header, req.ID, c.reused) {
			return resp, nil
		}
		mismatched++
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscard))
		if err != nil || resp.Close || n == maxDiscard {
			break
		}
	}
	return nil, errMismatched
}

// Read reads the body. It returns io.EOF if the body is complete.
func (r *Response) Read(to []byte) (int, error) {
	n, err := r.resp.Body.Read(to)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Drain reads the rest of a body that is not needed, so that the connection can be
// reused. It returns an error if the body is long or slow; Close then closes the
// connection.
func (r *Response) Drain() error {
	ctx, cancel := clock.WithTimeout(context.Background(), r.pool.cfg.Clock, drainTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = r.cc.conn.Close() })
	defer stop()
	if _, err := io.Copy(io.Discard, io.LimitReader(r, maxDrain)); err != nil {
		return fmt.Errorf("read unneeded body: %w", err)
	}
	if !r.complete {
		return errDrain
	}
	return nil
}

// Close returns the connection to the pool if the body was read to its end and no
// further bytes follow. Otherwise it closes the connection.
func (r *Response) Close() {
	notCancelled := r.stopCancel()
	if !notCancelled || !r.complete || r.resp.Close || r.cc.reader.Buffered() > 0 {
		_ = r.cc.conn.Close()
		return
	}
	r.cc.keepAlive = parseKeepAlive(r.Header)
	r.cc.reused = true
	r.pool.release(r.cc)
}

// parseKeepAlive returns the idle timeout that the endpoint announces in the
// Keep-Alive header, or 0.
func parseKeepAlive(h http.Header) time.Duration {
	const field = "timeout="
	text := h.Get("Keep-Alive")
	at := bytes.Index([]byte(text), []byte(field))
	if at < 0 {
		return 0
	}
	digits := text[at+len(field):]
	end := 0
	for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
		end++
	}
	n, err := strconv.Atoi(digits[:end])
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

// release adds a connection to the idle ones, or closes it if there are too many.
func (p *Pool) release(cc *clientConn) {
	cc.idleAt = p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[cc.target]
	if len(list) >= p.cfg.MaxIdle || p.cfg.MaxIdleTotal > 0 && p.idleTotal >= p.cfg.MaxIdleTotal {
		_ = cc.conn.Close()
		return
	}
	p.idle[cc.target] = append(list, cc)
	p.idleTotal++
}

// acquire returns an idle connection that can be reused, or opens a new one.
func (p *Pool) acquire(ctx context.Context, to Target, once bool) (*clientConn, error) {
	for {
		cc := p.takeIdle(to)
		if cc == nil {
			return p.open(ctx, to)
		}
		if p.usable(cc, once) && cc.isIdle() {
			p.reused.Add(1)
			return cc, nil
		}
		_ = cc.conn.Close()
	}
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) takeIdle(to Target) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	if len(list) == 0 {
		return nil
	}
	cc := list[len(list)-1]
	p.idle[to] = list[:len(list)-1]
	p.idleTotal--
	return cc
}

// idleMargin is how long before the announced idle timeout a connection is no longer
// reused, to allow for the transfer time of the request.
const idleMargin = 500 * time.Millisecond

// usable reports whether an idle connection is recent enough to be reused.
func (p *Pool) usable(cc *clientConn, once bool) bool {
	limit := p.cfg.IdleTimeout
	if once {
		limit = p.cfg.OnceIdleTimeout
	}
	if cc.keepAlive > 0 {
		limit = min(limit, cc.keepAlive-idleMargin)
	}
	return p.cfg.Clock.Now().Sub(cc.idleAt) < limit
}

// isIdle reports whether the connection is open and has no bytes to read. Bytes that
// were received while it was idle belong to no request.
func (c *clientConn) isIdle() bool {
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(errno, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// Sweep closes the idle connections that are too old to be reused, those on which bytes
// have arrived that belong to no request, and those to targets for which keep returns false.
func (p *Pool) Sweep(keep func(Target) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		var rest []*clientConn
		for _, cc := range list {
			if keep(to) && p.usable(cc, false) && cc.isIdle() {
				rest = append(rest, cc)
				continue
			}
			_ = cc.conn.Close()
			p.idleTotal--
		}
		if len(rest) == 0 {
			delete(p.idle, to)
			continue
		}
		p.idle[to] = rest
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(func(Target) bool { return false }) }
