package share

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
)

// send starts sending a message, unless the previous one to that host is in flight.
func (s *Service) send(ctx context.Context, to feed.Host, own *loadpb.Status) {
	peer, done, err := s.peers.beginSend(to)
	if err != nil {
		s.cfg.Logger.Warn("can't connect to peer", "peer", to.Name, "error", err)
		return
	}
	if peer == nil {
		return
	}
	m := &statusMessage{s: s, to: to, peer: peer, done: done, status: own}
	go m.run(ctx)
}

// statusMessage is a status that is being sent to one peer.
type statusMessage struct {
	s      *Service
	to     feed.Host
	peer   *peer
	done   func()
	status *loadpb.Status
}

func (m *statusMessage) run(ctx context.Context) {
	defer m.done()
	s := m.s
	sent, before := s.cfg.Clock.Boot(), m.peer.received.Load()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := m.peer.client.Tell(call, m.status)
	if err != nil {
		s.failures.Inc()
		now, received := s.cfg.Clock.Boot(), m.peer.received.Load()-before
		skipped := true
		if received > 0 && status.Code(err) == codes.DeadlineExceeded {
			skipped = s.cfg.Hubs.MarkSlow(m.to.Name, now)
		} else {
			s.cfg.Hubs.MarkFailed(m.to.Name, now)
		}
		s.cfg.Logger.Info("status message to peer failed", "hub", m.to.Name, "error", err, "skipped", skipped,
			"ms", (now - sent).Milliseconds(), "sent-bytes", proto.Size(m.status), "received-bytes", received)
		return
	}
	s.cfg.Hubs.MarkReachable(m.to.Name)
	s.recordPeerContact()
	if !m.status.GetForDomain() && !m.status.GetDirect() {
		s.handleReply(m.to.Name, reply)
		s.receiveGrants(m.to, reply, sent)
	} else {
		s.pool.Delivered(m.to.FailureDomain, sent)
	}
	s.receiveReads(ctx, m.to, reply, sent)
}
