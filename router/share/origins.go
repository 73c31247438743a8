package share

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/lo"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadastand.dev/core/coord/origin"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
)

const (
	// originTimeout bounds a call to a host that holds copies of origins, and a silent host is
	// left out for silentTime after one. The first event of a stream waits for the first copy.
	originTimeout = 250 * time.Millisecond
	silentTime    = 2 * time.Second
)

// Origins has what this host knows of the origins of streams.
type Origins interface {
	// KeepCopies remembers origins that another host has recorded.
	KeepCopies(origins []feed.Origin)
	// State returns what this host says of the origin of a stream.
	State(service string, stream feed.StreamKey) origin.Statement
}

// errNoCopy reports an origin that no other host holds.
var errNoCopy = errors.New("no other host holds a copy of an origin")

// CopyOrigins has other hosts hold copies of origins, and waits until each is held by one. After
// an error there may be an origin that none holds.
func (s *Service) CopyOrigins(ctx context.Context, origins []feed.Origin) error {
	all := s.otherHosts()
	if len(all) == 0 {
		return nil
	}
	hosts := s.withoutSilent(all)
	byHost := make(map[string]*originCopy)
	missing := make(map[feed.StreamKey]bool)
	for _, o := range origins {
		missing[o.Stream] = true
		holders := origin.Rank(o.Stream, hosts)
		for _, h := range holders[:min(origin.CopyCount, len(holders))] {
			c, ok := byHost[h.Name]
			if !ok {
				c = &originCopy{s: s, to: h}
				byHost[h.Name] = c
			}
			c.origins = append(c.origins, o)
		}
	}
	done := make(chan *originCopy, len(byHost))
	for _, c := range byHost {
		c.done = done
		go c.run(ctx)
	}
	var last error
	for range byHost {
		c := <-done
		if c.err != nil {
			last = c.err
			continue
		}
		for _, o := range c.origins {
			delete(missing, o.Stream)
		}
		if len(missing) == 0 {
			return nil
		}
	}
	return fmt.Errorf("%w: %w", errNoCopy, last)
}

// otherHosts returns all registered hosts but this one.
func (s *Service) otherHosts() []feed.Host {
	return lo.Filter(s.cfg.Hubs.All(), func(h feed.Host, _ int) bool { return h.Name != s.cfg.Self.Name })
}

// withoutSilent leaves out hosts that did not respond just now, unless there are no others.
func (s *Service) withoutSilent(hosts []feed.Host) []feed.Host {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	left := lo.Filter(hosts, func(h feed.Host, _ int) bool {
		at, ok := s.silent[h.Name]
		return !ok || now-at > silentTime
	})
	if len(left) == 0 {
		return hosts
	}
	return left
}

// recordOriginCall records whether a host has responded to a call.
func (s *Service) recordOriginCall(to feed.Host, err error) {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.silent[to.Name] = now
		return
	}
	delete(s.silent, to.Name)
}

// callForOrigins calls a host. It reports false if the software of the host holds no copies.
func (s *Service) callForOrigins(ctx context.Context, to feed.Host, call func(context.Context, loadpb.LoadClient) error) (able bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	client, ready, err := s.peers.readyClient(ctx, to, originTimeout)
	if err == nil && !ready {
		err = context.DeadlineExceeded
	}
	if err == nil {
		err = call(ctx, client)
	}
	if status.Code(err) == codes.Unimplemented {
		s.recordOriginCall(to, nil)
		return false, nil
	}
	s.recordOriginCall(to, err)
	if err != nil {
		return true, fmt.Errorf("call %s: %w", to.Name, err)
	}
	return true, nil
}

// originCopy has one host hold copies of origins.
type originCopy struct {
	s       *Service
	to      feed.Host
	origins []feed.Origin
	done    chan<- *originCopy
	err     error
}

func (c *originCopy) run(ctx context.Context) {
	builds := lo.GroupBy(c.origins, func(o feed.Origin) string { return o.Build })
	in := &loadpb.OriginCopies{Host: c.s.cfg.Self.Name, Builds: lo.MapToSlice(builds, func(build string, list []feed.Origin) *loadpb.BuildStreams {
		return &loadpb.BuildStreams{Build: build, Streams: lo.Map(list, func(o feed.Origin, _ int) uint64 { return uint64(o.Stream) })}
	})}
	_, c.err = c.s.callForOrigins(ctx, c.to, func(ctx context.Context, client loadpb.LoadClient) error {
		_, err := client.KeepOrigins(ctx, in)
		return err
	})
	c.done <- c
}

// AskOrigin returns what hosts say of the origin of a stream, this one included. Holders that do not
// respond say nothing.
func (s *Service) AskOrigin(ctx context.Context, service string, stream feed.StreamKey) []origin.Statement {
	ranked := origin.Rank(stream, s.cfg.Hubs.All())
	holders := ranked[:min(origin.CopyCount, len(ranked))]
	isHolder := func(h feed.Host) bool {
		return lo.ContainsBy(holders, func(holder feed.Host) bool { return holder.Name == h.Name })
	}
	own := s.cfg.Origins.State(service, stream)
	own.Host, own.IsHolder = s.cfg.Self.Name, isHolder(s.cfg.Self)
	out := []origin.Statement{own}
	others := origin.Rank(stream, s.withoutSilent(s.otherHosts()))
	others = others[:min(origin.AskCount, len(others))]
	done := make(chan *originQuery, len(others))
	for _, h := range others {
		q := &originQuery{s: s, to: h, service: service, stream: stream, done: done}
		go q.run(ctx)
	}
	for range others {
		if q := <-done; q.ok {
			q.answer.IsHolder = isHolder(q.to)
			out = append(out, q.answer)
		}
	}
	for _, h := range holders {
		if !lo.ContainsBy(out, func(said origin.Statement) bool { return said.Host == h.Name }) {
			out = append(out, origin.Statement{Host: h.Name, IsHolder: true, IsSilent: true})
		}
	}
	return out
}

// originQuery asks one host for the origin of a stream.
type originQuery struct {
	s       *Service
	to      feed.Host
	service string
	stream  feed.StreamKey
	done    chan<- *originQuery
	answer  origin.Statement
	ok      bool
}

func (q *originQuery) run(ctx context.Context) {
	in := &loadpb.OriginQuery{Host: q.s.cfg.Self.Name, Service: q.service, Stream: uint64(q.stream)}
	var out *loadpb.OriginStatement
	able, err := q.s.callForOrigins(ctx, q.to, func(ctx context.Context, client loadpb.LoadClient) (err error) {
		out, err = client.FindOrigin(ctx, in)
		return err
	})
	q.ok = err == nil
	q.answer = origin.Statement{
		Host:       q.to.Name,
		Build:      out.GetBuild(),
		HasBuild:   out.GetKnown(),
		IsComplete: out.GetComplete(),
		Base:       feed.Base{Service: q.service, Build: out.GetBaseBuild(), Term: out.GetBaseTerm()},
		IsUnable:   !able,
	}
	if err != nil {
		q.s.cfg.Logger.Debug("host did not say where a stream began", "peer", q.to.Name, "error", err)
	}
	q.done <- q
}

// KeepOrigins remembers origins that another host has recorded.
func (h *rpcServer) KeepOrigins(_ context.Context, in *loadpb.OriginCopies) (*loadpb.OriginsKept, error) {
	for _, b := range in.GetBuilds() {
		h.cfg.Origins.KeepCopies(lo.Map(b.GetStreams(), func(key uint64, _ int) feed.Origin {
			return feed.Origin{Stream: feed.StreamKey(key), Build: b.GetBuild()}
		}))
	}
	return &loadpb.OriginsKept{}, nil
}

// FindOrigin returns what this host knows of the origin of a stream.
func (h *rpcServer) FindOrigin(_ context.Context, in *loadpb.OriginQuery) (*loadpb.OriginStatement, error) {
	own := h.cfg.Origins.State(in.GetService(), feed.StreamKey(in.GetStream()))
	return &loadpb.OriginStatement{
		Known:     own.HasBuild,
		Build:     own.Build,
		Complete:  own.IsComplete,
		BaseBuild: own.Base.Build,
		BaseTerm:  own.Base.Term,
	}, nil
}
