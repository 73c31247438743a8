package peer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"cicadastand.dev/core/proto/peerpb"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/conf"
)

const (
	// pullInterval is the time in which a pull has to bring pullBytes: operators decide how large
	// the configuration is, so the time for all of it has no fixed limit.
	pullInterval = time.Second
	pullBytes    = 64 << 10
)

// startPull requests the configuration that this host lacks from a peer, unless a pull is in
// progress. Exchanges with other peers don't wait for it.
func (s *Service) startPull(ctx context.Context, address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pulling {
		return
	}
	s.pulling = true
	p := &pull{s: s, address: address}
	// The exchange that found the peer to be ahead ends before.
	go p.run(context.WithoutCancel(ctx))
}

// pull is one request for the configuration that a peer has.
type pull struct {
	s       *Service
	address netip.AddrPort
}

func (p *pull) run(ctx context.Context) {
	s := p.s
	s.pulls.Inc()
	started := s.cfg.Clock.Now()
	err := p.pull(ctx)
	s.mu.Lock()
	s.pulling = false
	s.mu.Unlock()
	if err != nil {
		s.failures.Inc()
	}
	s.cfg.Logger.Info("configuration pulled from peer", "address", p.address, "offset", s.cfg.Store.Offset(), "ms", s.cfg.Clock.Now().Sub(started).Milliseconds(), "error", err)
}

// pull requests the configuration and applies it.
func (p *pull) pull(ctx context.Context) error {
	s := p.s
	conn, err := s.conn(p.address)
	if err != nil {
		return err
	}
	ctx, deadline := clock.WithDeadline(ctx, s.cfg.Clock, callTimeout)
	defer deadline.Stop()
	w := &progressWatch{clock: s.cfg.Clock, conn: conn, deadline: deadline}
	go w.loop(ctx)
	reply, err := peerpb.NewPeerClient(conn.ClientConn).Pull(ctx, &peerpb.PullRequest{Offset: s.cfg.Store.Offset()})
	if err != nil {
		return fmt.Errorf("pull configuration: %w", err)
	}
	if len(reply.GetSnapshot()) > 0 {
		snap, err := conf.DecodeSnapshot(reply.GetSnapshot())
		if err != nil {
			return err
		}
		return s.cfg.Store.Restore(snap, "peer")
	}
	s.cfg.Store.ApplyPeer(fromLogRecords(reply.GetRecords()))
	return nil
}

// progressWatch defers a deadline while a connection receives enough.
type progressWatch struct {
	clock    clock.Service
	conn     *conn
	deadline *clock.Deadline
}

func (w *progressWatch) loop(ctx context.Context) {
	// Several looks at each interval, since progress defers the deadline from then on.
	tick := w.clock.Subscribe(pullInterval / 10)
	defer tick.Stop()
	before := w.conn.received.Load()
	for {
		select {
		case <-tick.C():
			if received := w.conn.received.Load(); received-before >= pullBytes {
				before = received
				w.deadline.Defer(pullInterval)
			}
		case <-ctx.Done():
			return
		}
	}
}
