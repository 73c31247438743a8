package share

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
	"cicadastand.dev/core/trans/dialer"
)

const (
	// minReconnectDelay and maxReconnectDelay bound the delay between attempts to
	// connect to a peer.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = time.Second
)

// peerKeepalive bounds how long a peer that lost power or network keeps calls waiting.
var peerKeepalive = dialer.Keepalive{
	Unacknowledged: time.Second,
	ProbeAfter:     time.Second,
	ProbeInterval:  time.Second,
	Probes:         2,
}

// peers holds the gRPC connections to other hosts. It is safe for concurrent use.
//
// Lock order: peers.mu is a leaf.
type peers struct {
	mu     sync.Mutex
	byName map[string]*peer
}

type peer struct {
	host    feed.Host
	conn    *grpc.ClientConn
	client  loadpb.LoadClient
	sending bool
	// received counts the bytes that the host has sent to this one. They tell how much of a
	// reply had arrived when it was given up.
	received atomic.Int64
}

func newPeers() *peers { return &peers{byName: make(map[string]*peer)} }

// client returns a client for a host. It connects to the host if necessary.
func (p *peers) client(to feed.Host) (loadpb.LoadClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, err := p.connect(to)
	if err != nil {
		return nil, err
	}
	return entry.client, nil
}

// readyClient returns a client for a host whose connection is established. It reports false if
// that takes longer than most.
func (p *peers) readyClient(ctx context.Context, to feed.Host, most time.Duration) (loadpb.LoadClient, bool, error) {
	p.mu.Lock()
	entry, err := p.connect(to)
	p.mu.Unlock()
	if err != nil {
		return nil, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for state := entry.conn.GetState(); state != connectivity.Ready; state = entry.conn.GetState() {
		entry.conn.Connect()
		if !entry.conn.WaitForStateChange(ctx, state) {
			return nil, false, nil
		}
	}
	return entry.client, true, nil
}

// beginSend returns the connection for sending one message to a host, or nil while the
// previous message is in flight. The caller calls done when the message is complete.
func (p *peers) beginSend(to feed.Host) (out *peer, done func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, err := p.connect(to)
	if err != nil {
		return nil, nil, err
	}
	if entry.sending {
		return nil, nil, nil
	}
	entry.sending = true
	return entry, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		entry.sending = false
	}, nil
}

// connect returns the connection to a host. It replaces an existing connection if
// the host's entry has changed. The caller holds the lock.
func (p *peers) connect(to feed.Host) (*peer, error) {
	entry, ok := p.byName[to.Name]
	if ok && entry.host == to {
		return entry, nil
	}
	if ok {
		if err := entry.conn.Close(); err != nil {
			return nil, fmt.Errorf("close connection to %s: %w", entry.host.Address, err)
		}
	}
	entry, err := dial(to)
	if err != nil {
		return nil, err
	}
	p.byName[to.Name] = entry
	return entry, nil
}

func dial(to feed.Host) (*peer, error) {
	out := &peer{host: to}
	// A connection may fall silent without a reset.
	open := dialer.Counted(dialer.WithKeepalive(peerKeepalive), &out.received)
	conn, err := grpc.NewClient("passthrough:///"+to.Address,
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return open(ctx, "tcp", address) }),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minReconnectDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: callTimeout,
		}))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", to.Address, err)
	}
	out.conn, out.client = conn, loadpb.NewLoadClient(conn)
	return out, nil
}

func (p *peers) close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []error
	for _, entry := range p.byName {
		all = append(all, entry.conn.Close())
	}
	return errors.Join(all...)
}
