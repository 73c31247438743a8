package httpd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/state/clock"
)

const (
	// sweepInterval is the time between checks of the progress of bodies.
	sweepInterval = time.Second
	// roomWait is how long a body waits for memory, and roomInterval the time between
	// checks. Meanwhile its client is not read.
	roomWait     = 3 * time.Second
	roomInterval = 50 * time.Millisecond
	// logInterval is the least time between two log lines with the same reason and port.
	logInterval = time.Second
)

// ErrNoRoom reports that there is no memory for a request. It has not run.
var ErrNoRoom = errors.New("no memory for the request")

// ErrStalled reports a request that was ended because its body made no progress.
var ErrStalled = errors.New("the request body made no progress")

// GuardConfig configures a Guard.
type GuardConfig struct {
	Clock interface {
		clock.Service
		clock.Boot
	}
	Hold    hold.Config
	Logger  hclog.Logger
	Metrics *metrics.Set
}

// Guard bounds what the clients of all servers of a process take: memory, descriptors and
// time. A nil Guard bounds nothing.
type Guard struct {
	cfg     GuardConfig
	account *hold.Account

	mu sync.Mutex
	// logged is when a line was last logged for a reason and a port, and unlogged how many
	// were left out since.
	logged   map[string]time.Duration
	unlogged map[string]int
}

// NewGuard returns a Guard and registers its metrics.
func NewGuard(cfg GuardConfig) *Guard {
	g := &Guard{cfg: cfg, account: hold.New(cfg.Hold), logged: make(map[string]time.Duration), unlogged: make(map[string]int)}
	for _, k := range hold.Kinds() {
		cfg.Metrics.NewGauge(`cicada_held_bytes{kind="`+k.String()+`"}`, func() float64 { return float64(g.account.Held(k)) })
	}
	for port := range cfg.Hold.MaxConns {
		cfg.Metrics.NewGauge(`cicada_client_conns{port="`+port+`"}`, func() float64 { return float64(g.account.OpenConns(port)) })
	}
	return g
}

// Run ends bodies that arrive too slowly, until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	tick := g.cfg.Clock.Subscribe(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
			g.end(g.account.Sweep(g.cfg.Clock.Boot()))
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) end(victims []hold.Victim) {
	for _, v := range victims {
		g.record(v.Reason, v.Port, "phase", v.Phase.String(), "bytes", v.Bytes, "pause-ms", v.Pause.Milliseconds())
		v.Evict()
	}
}

// record counts a client that is refused or ended, and logs it, with a bounded rate.
func (g *Guard) record(r hold.Reason, port string, args ...any) {
	key := `reason="` + string(r) + `",port="` + port + `"`
	g.cfg.Metrics.GetOrCreateCounter("cicada_clients_ended_total{" + key + "}").Inc()
	now := g.cfg.Clock.Boot()
	g.mu.Lock()
	last, ok := g.logged[key]
	if ok && now-last < logInterval {
		g.unlogged[key]++
		g.mu.Unlock()
		return
	}
	more := g.unlogged[key]
	g.logged[key], g.unlogged[key] = now, 0
	g.mu.Unlock()
	g.cfg.Logger.Warn("client refused or ended", append([]any{"reason", string(r), "port", port, "more-since-last", more}, args...)...)
}

// Lease is what one request holds. A nil Lease is not bounded.
type Lease struct {
	guard  *Guard
	holder *hold.Holder
	port   string
	// own is set if the holder belongs to the lease and not to a connection.
	own bool
	// evicted holds the reason if the request was ended.
	evicted *atomic.Pointer[hold.Reason]
}

type leaseKey struct{}

// LeaseOf returns the lease of the request of a context; nil if it has none.
func LeaseOf(ctx context.Context) *Lease {
	l, _ := ctx.Value(leaseKey{}).(*Lease)
	return l
}

// Open returns a lease for a complete request that came on no connection of a Server. Close
// must be called after use.
func (g *Guard) Open() *Lease {
	if g == nil {
		return nil
	}
	return &Lease{guard: g, holder: g.account.Open(g.cfg.Clock.Boot()), port: hold.Peers, own: true}
}

// Close returns all that the lease holds.
func (l *Lease) Close() {
	if l == nil {
		return
	}
	if l.own {
		l.guard.account.Close(l.holder)
		return
	}
	l.guard.account.Announce(l.holder, 0)
	for _, k := range []hold.Kind{hold.Heads, hold.Requests, hold.Bodies, hold.Responses} {
		l.guard.account.GiveAll(l.holder, k)
	}
}

// TryTake takes n bytes if there is room.
func (l *Lease) TryTake(k hold.Kind, n int64) bool {
	if l == nil {
		return true
	}
	ok, victims := l.guard.account.Take(l.holder, k, n, l.guard.cfg.Clock.Boot())
	l.guard.end(victims)
	return ok
}

// Give returns n bytes.
func (l *Lease) Give(k hold.Kind, n int64) {
	if l != nil {
		l.guard.account.Give(l.holder, k, n)
	}
}

// Take takes n bytes, and waits for room if there is none. It returns ErrNoRoom if there is no
// room in time.
func (l *Lease) Take(ctx context.Context, k hold.Kind, n int64) error {
	if l.TryTake(k, n) {
		return nil
	}
	g := l.guard
	until := g.cfg.Clock.Boot() + roomWait
	defer func() { g.account.EndWait(l.holder, g.cfg.Clock.Boot()) }()
	for g.cfg.Clock.Boot() < until {
		newest := g.account.Wait(l.holder)
		if err := clock.Sleep(ctx, g.cfg.Clock, roomInterval); err != nil {
			return fmt.Errorf("wait for memory: %w", err)
		}
		if l.TryTake(k, n) {
			return nil
		}
		if newest && g.cfg.Clock.Boot() >= until-roomWait+minRoomWait {
			break
		}
	}
	g.record(hold.NoRoom, l.port, "kind", k.String(), "bytes", n)
	return ErrNoRoom
}

// minRoomWait is how long also the newest of the requests that wait for memory does.
const minRoomWait = 500 * time.Millisecond

// Err returns ErrNoRoom or ErrStalled if the request was ended, and nil otherwise.
func (l *Lease) Err() error {
	if l == nil || l.evicted == nil {
		return nil
	}
	switch r := l.evicted.Load(); {
	case r == nil:
		return nil
	case *r == hold.Slow:
		return ErrStalled
	default:
		return ErrNoRoom
	}
}

// firstBodyBuffer is the size of the first buffer of a body.
const firstBodyBuffer = 4 << 10

// ReadBody reads a request body of at most limit bytes, and charges its lease while the bytes
// arrive. length is the announced length, or -1. It returns a http.MaxBytesError, ErrNoRoom,
// ErrStalled, or an error of the connection.
func (l *Lease) ReadBody(ctx context.Context, w http.ResponseWriter, src io.ReadCloser, length, limit int64) ([]byte, error) {
	if l != nil {
		l.guard.account.Announce(l.holder, length)
	}
	limited := http.MaxBytesReader(w, src, limit)
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := l.grow(ctx, body, length, limit)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := limited.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			if ended := l.Err(); ended != nil {
				return nil, ended
			}
			return nil, fmt.Errorf("read request body: %w", err)
		}
	}
}

// grow returns a larger buffer with the same content. One more byte than the body has lets a
// read find its end.
func (l *Lease) grow(ctx context.Context, body []byte, length, limit int64) ([]byte, error) {
	size := min(max(firstBodyBuffer, 2*int64(cap(body))), limit+1)
	if length >= 0 && size >= length && int64(cap(body)) <= length {
		size = length + 1
	}
	if err := l.Take(ctx, hold.Bodies, size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), body...)
	l.Give(hold.Bodies, int64(cap(body)))
	return grown, nil
}

// errResponseMemory reports a response for which there is no memory.
var errResponseMemory = errors.New("no memory for the response")

// ReadResponse reads a whole response and charges the lease for it.
func (l *Lease) ReadResponse(src io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(firstBodyBuffer, 2*int64(cap(body)))
			if !l.TryTake(hold.Responses, size) {
				return nil, errResponseMemory
			}
			grown := append(make([]byte, 0, size), body...)
			l.Give(hold.Responses, int64(cap(body)))
			body = grown
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read response body: %w", err)
		}
	}
}

// wrapHandler gives each request a lease.
func (g *Guard) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*serverConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		l := c.lease()
		defer l.Close()
		if l.takeRequest(r) != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, ErrNoRoom.Error(), http.StatusServiceUnavailable)
			return
		}
		phase := hold.Served
		if r.Body != nil && r.Body != http.NoBody {
			phase = hold.Body
			r.Body = &trackedBody{ReadCloser: r.Body, conn: c}
		}
		g.account.SetPhase(c.holder, phase, g.cfg.Clock.Boot())
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), leaseKey{}, l)))
	})
}

// takeRequest charges a request. The head was charged while it arrived, but not its lines if the
// connection is encrypted.
func (l *Lease) takeRequest(r *http.Request) error {
	cost := int64(0)
	for name, values := range r.Header {
		for _, v := range values {
			cost += int64(hold.LineBytes + hold.HeadFactor*(len(name)+len(v)))
		}
	}
	if more := cost - l.guard.account.HeldBy(l.holder, hold.Heads); more > 0 {
		if err := l.Take(r.Context(), hold.Heads, more); err != nil {
			return err
		}
	}
	return l.Take(r.Context(), hold.Requests, hold.RequestBytes)
}

// trackedBody records the end of a body.
type trackedBody struct {
	io.ReadCloser
	conn *serverConn
}

// Read implements io.Reader.
func (b *trackedBody) Read(to []byte) (int, error) {
	n, err := b.ReadCloser.Read(to)
	if errors.Is(err, io.EOF) && !b.conn.guard.account.SetServed(b.conn.holder, b.conn.guard.cfg.Clock.Boot()) {
		return n, errEvicted
	}
	return n, err
}

type connKey struct{}

// connContext adds a connection to the context of its requests.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if sc := guarded(c); sc != nil {
		return context.WithValue(ctx, connKey{}, sc)
	}
	return ctx
}

// guarded returns the connection below TLS, or nil if it has no guard.
func guarded(c net.Conn) *serverConn {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	if sc, ok := c.(*serverConn); ok && sc.guard != nil {
		return sc
	}
	return nil
}
