package share

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
)

const (
	// reconnectFirst and reconnectLast bound the pause between trials to reach a peer.
	reconnectFirst = 100 * time.Millisecond
	reconnectLast  = time.Second
)

// peers keeps the connections to other hosts. It is safe for concurrent use.
//
// Lock order: peers.mu is a leaf.
type peers struct {
	mu sync.Mutex
	by map[string]*peer
}

type peer struct {
	host   feed.Host
	conn   *grpc.ClientConn
	client loadpb.LoadClient
	busy   bool
}

func newPeers() *peers { return &peers{by: make(map[string]*peer)} }

// client returns a client for a host.
func (p *peers) client(to feed.Host) (loadpb.LoadClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, err := p.known(to)
	if err != nil {
		return nil, err
	}
	return known.client, nil
}

// begin returns a client for a host, or nil while a message to it is on its way.
// done ends the message.
func (p *peers) begin(to feed.Host) (client loadpb.LoadClient, done func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, err := p.known(to)
	if err != nil {
		return nil, nil, err
	}
	if known.busy {
		return nil, nil, nil
	}
	known.busy = true
	return known.client, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		known.busy = false
	}, nil
}

// known returns the connection to a host; the caller holds the lock.
func (p *peers) known(to feed.Host) (*peer, error) {
	known, ok := p.by[to.Name]
	if ok && known.host == to {
		return known, nil
	}
	if ok {
		if err := known.conn.Close(); err != nil {
			return nil, fmt.Errorf("close connection to %s: %w", known.host.Address, err)
		}
	}
	known, err := dial(to)
	if err != nil {
		return nil, err
	}
	p.by[to.Name] = known
	return known, nil
}

func dial(to feed.Host) (*peer, error) {
	conn, err := grpc.NewClient("passthrough:///"+to.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectFirst, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnectLast},
			MinConnectTimeout: callTimeout,
		}))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", to.Address, err)
	}
	return &peer{host: to, conn: conn, client: loadpb.NewLoadClient(conn)}, nil
}

func (p *peers) close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []error
	for _, known := range p.by {
		all = append(all, known.conn.Close())
	}
	return errors.Join(all...)
}
