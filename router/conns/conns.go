// Package conns sends requests to endpoints over channels that it keeps.
//
// Each call is one send: the standard client repeats a request by itself when a
// kept connection breaks, which would run an order twice.
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
)

const (
	// readBuffer holds an answer's header and some events.
	readBuffer = 4 << 10
	// maxMismatched is how many answers to other requests are passed over before a
	// channel is given up.
	maxMismatched = 2
	// maxDiscard bounds the body of an answer that is passed over.
	maxDiscard = 256 << 10
)

// ErrUnsent reports a request of which no byte has left this host.
type ErrUnsent struct{ Err error }

// Error gives the reason.
func (e *ErrUnsent) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the reason.
func (e *ErrUnsent) Unwrap() error { return e.Err }

// IsErrUnsent reports whether err holds an ErrUnsent.
func IsErrUnsent(err error) bool {
	var target *ErrUnsent
	return errors.As(err, &target)
}

// Config says how channels are made and kept.
type Config struct {
	Clock clock.Service
	Dial  dialer.Func
	// DialTimeout bounds the opening of a channel.
	DialTimeout time.Duration
	// IdleTimeout is how long a channel is kept for requests that may be repeated.
	IdleTimeout time.Duration
	// OnceIdleTimeout is how long a channel is kept for requests that run at most once:
	// one that the endpoint has just closed would leave their outcome open.
	OnceIdleTimeout time.Duration
	// MaxIdle bounds the idle channels to one endpoint.
	MaxIdle int
}

// Target is the incarnation that a request is sent to. A channel belongs to one
// incarnation: the address may pass to another.
type Target struct {
	Incarnation string
	Address     netip.AddrPort
}

// Request is a request as it goes out.
type Request struct {
	ID     string
	Method string
	// URI is the path and query as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Once is set for requests that must not run twice.
	Once bool
}

// Pool keeps channels. It is safe for concurrent use.
//
// Lock order: Pool.mu is a leaf.
type Pool struct {
	cfg    Config
	mu     sync.Mutex
	idle   map[Target][]*clientConn
	opened atomic.Int64
	reused atomic.Int64
}

// New returns a pool without channels.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, idle: make(map[Target][]*clientConn)} }

// Opened returns how many channels were opened, Reused how many sends went over kept ones.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Reused returns how many sends went over kept channels.
func (p *Pool) Reused() int64 { return p.reused.Load() }

type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
	target Target
	idleAt time.Time
	// keepAlive is how long the endpoint keeps the channel idle; 0 if it did not say.
	keepAlive time.Duration
}

// Response is an endpoint's answer whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Length of the body; -1 if it is not known beforehand.
	Length     int64
	pool       *Pool
	ch         *clientConn
	resp       *http.Response
	stopCancel func() bool
	complete   bool
}

// IsResponseTo decides whether an answer belongs to the request with an ID.
type IsResponseTo func(h http.Header, id string) bool

// Send sends a message once and reads the answer's header. An ErrUnsent says
// that the endpoint can't have run it; after any other error it may have.
func (p *Pool) Send(ctx context.Context, to Target, m Request, own IsResponseTo) (*Response, error) {
	ch, err := p.acquire(ctx, to, m.Once)
	if err != nil {
		return nil, &ErrUnsent{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = ch.conn.Close() })
	fail := func(err error) (*Response, error) {
		stop()
		_ = ch.conn.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	if n, err := ch.conn.Write(encode(m)); err != nil {
		if n == 0 {
			return fail(&ErrUnsent{Err: err})
		}
		return fail(fmt.Errorf("send request: %w", err))
	}
	resp, err := ch.readResponse(m, own)
	if err != nil {
		return fail(err)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, pool: p, ch: ch, resp: resp, stopCancel: stop}, nil
}

func encode(m Request) []byte {
	var b bytes.Buffer
	b.Grow(len(m.Body) + 1024)
	b.WriteString(m.Method + " " + m.URI + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n")
	}
	// Writes to a bytes.Buffer can't fail.
	_ = m.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(m.Body)
	return b.Bytes()
}

var errMismatched = errors.New("answers on the channel belong to other requests")

// readResponse reads headers until the one that belongs to the message.
func (c *clientConn) readResponse(m Request, own IsResponseTo) (*http.Response, error) {
	for foreign := 0; foreign <= maxMismatched; {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: m.Method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if own(resp.Header, m.ID) {
			return resp, nil
		}
		foreign++
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscard))
		if err != nil || resp.Close || n == maxDiscard {
			break
		}
	}
	return nil, errMismatched
}

// Read reads the body. io.EOF means that it is whole.
func (r *Response) Read(to []byte) (int, error) {
	n, err := r.resp.Body.Read(to)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close ends the exchange. The channel is kept if the answer was read to its
// end and nothing follows it.
func (r *Response) Close() {
	live := r.stopCancel()
	if !live || !r.complete || r.resp.Close || r.ch.reader.Buffered() > 0 {
		_ = r.ch.conn.Close()
		return
	}
	r.ch.keepAlive = parseKeepAlive(r.Header)
	r.pool.release(r.ch)
}

// parseKeepAlive returns the idle time that the endpoint announces.
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

func (p *Pool) release(ch *clientConn) {
	ch.idleAt = p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[ch.target]
	if len(list) >= p.cfg.MaxIdle {
		_ = ch.conn.Close()
		return
	}
	p.idle[ch.target] = append(list, ch)
}

func (p *Pool) acquire(ctx context.Context, to Target, once bool) (*clientConn, error) {
	for {
		ch := p.takeIdle(to)
		if ch == nil {
			return p.open(ctx, to)
		}
		if p.usable(ch, once) && ch.isIdle() {
			p.reused.Add(1)
			return ch, nil
		}
		_ = ch.conn.Close()
	}
}

// takeIdle removes the channel that was used last.
func (p *Pool) takeIdle(to Target) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	if len(list) == 0 {
		return nil
	}
	ch := list[len(list)-1]
	p.idle[to] = list[:len(list)-1]
	return ch
}

// idleMargin is how long before the announced end a channel is no longer used:
// the request needs its time on the way.
const idleMargin = 500 * time.Millisecond

func (p *Pool) usable(ch *clientConn, once bool) bool {
	limit := p.cfg.IdleTimeout
	if once {
		limit = p.cfg.OnceIdleTimeout
	}
	if ch.keepAlive > 0 {
		limit = min(limit, ch.keepAlive-idleMargin)
	}
	return p.cfg.Clock.Now().Sub(ch.idleAt) < limit
}

// isIdle reports whether the channel is open and holds nothing to read. Bytes
// that arrived while it was idle belong to no request.
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

func (p *Pool) open(ctx context.Context, to Target) (*clientConn, error) {
	ctx, cancel := clock.WithTimeout(ctx, p.cfg.Clock, p.cfg.DialTimeout)
	defer cancel()
	conn, err := p.cfg.Dial(ctx, "tcp", to.Address.String())
	if err != nil {
		return nil, fmt.Errorf("open channel to %s: %w", to.Address, err)
	}
	p.opened.Add(1)
	return &clientConn{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), target: to}, nil
}

// Sweep closes the channels that are no longer usable, and those to endpoints
// that keep does not name.
func (p *Pool) Sweep(keep func(Target) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		var rest []*clientConn
		for _, ch := range list {
			if keep(to) && p.usable(ch, false) {
				rest = append(rest, ch)
				continue
			}
			_ = ch.conn.Close()
		}
		if len(rest) == 0 {
			delete(p.idle, to)
			continue
		}
		p.idle[to] = rest
	}
}

// Close closes all idle channels.
func (p *Pool) Close() { p.Sweep(func(Target) bool { return false }) }
