package share

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/lo"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/proto/feed"
	"cicadastand.dev/core/proto/loadpb"
	"cicadastand.dev/core/trans/httpc"
)

const (
	// maxForwards is the number of hosts that are asked to serve one request.
	maxForwards = 4
	// unableTime is how long a host that could not serve a request is not asked again.
	unableTime = time.Second
	// forwardConnectTimeout is how long a connection to another host may take. Another one can
	// be asked.
	forwardConnectTimeout = 100 * time.Millisecond
	// maxForwardedBytes limits a forwarded request, whose body is bounded by the
	// configuration.
	maxForwardedBytes = 64 << 20
	// maxPartBytes limits the body in one part of a response.
	maxPartBytes = 64 << 10
)

// errNotRun reports a host that did not serve a forwarded request.
var errNotRun = errors.New("peer did not serve the request")

// Forward has another host serve a request. After call.ErrNotForwarded the request has not
// run; after any other error it may have.
func (s *Service) Forward(ctx context.Context, req call.Forwarded) (*call.ForwardedResponse, error) {
	req.Host = s.cfg.Self.Name
	reasons := call.ErrNotForwarded
	for _, peer := range s.forwardPeers() {
		resp, err := s.forwardTo(ctx, peer, req)
		if !errors.Is(err, errNotRun) {
			return resp, err
		}
		s.markUnable(peer)
		reasons = fmt.Errorf("%w; %s: %w", reasons, peer.Name, err)
	}
	return nil, reasons
}

// forwardPeers returns the hosts to ask, in random order to spread the load.
func (s *Service) forwardPeers() []feed.Host {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := lo.Filter(s.cfg.Hubs.Reachable(now), func(h feed.Host, _ int) bool {
		at, ok := s.unable[h.Name]
		return !ok || now-at > unableTime
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(maxForwards, len(peers))]
}

func (s *Service) markUnable(peer feed.Host) {
	now := s.cfg.Clock.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unable[peer.Name] = now
}

func (s *Service) forwardTo(ctx context.Context, peer feed.Host, req call.Forwarded) (*call.ForwardedResponse, error) {
	client, ready, err := s.peers.readyClient(ctx, peer, forwardConnectTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	if !ready {
		return nil, fmt.Errorf("%w: not connected within %d ms", errNotRun, forwardConnectTimeout.Milliseconds())
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := client.Forward(ctx, forwardedMessage(req), grpc.MaxCallRecvMsgSize(maxForwardedBytes))
	if err != nil {
		cancel()
		// The message was not sent.
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	first, err := stream.Recv()
	switch {
	case first.GetBroken():
		cancel()
		return nil, &call.ErrBroken{Attempts: int(first.GetAttempts())}
	case status.Code(err) == codes.Unimplemented:
		cancel()
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	case err != nil:
		cancel()
		return nil, fmt.Errorf("forward request to %s: %w", peer.Name, err)
	case first.GetNotRun():
		cancel()
		return nil, fmt.Errorf("%w: %s", errNotRun, first.GetReason())
	}
	if err := httpc.CheckStatus(int(first.GetStatus())); err != nil {
		cancel()
		return nil, fmt.Errorf("forward request to %s: %w", peer.Name, err)
	}
	body := &partReader{stream: stream, cancel: cancel, buf: first.GetBody()}
	return &call.ForwardedResponse{Host: peer.Name, Status: int(first.GetStatus()), Header: headerFrom(first.GetHeader()), Body: body}, nil
}

// partReader reads the body of a response from its parts.
type partReader struct {
	stream grpc.ServerStreamingClient[loadpb.ResponsePart]
	cancel context.CancelFunc
	buf    []byte
}

// Read implements io.Reader.
func (r *partReader) Read(to []byte) (int, error) {
	for len(r.buf) == 0 {
		part, err := r.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, fmt.Errorf("read part of a response: %w", err)
		}
		if part.GetBroken() {
			return 0, &call.ErrBroken{Attempts: int(part.GetAttempts())}
		}
		r.buf = part.GetBody()
	}
	n := copy(to, r.buf)
	r.buf = r.buf[n:]
	return n, nil
}

// Close ends the call. The other host then ends the request.
func (r *partReader) Close() error {
	r.cancel()
	return nil
}

// Forward serves the request of a client of another host.
func (h *rpcServer) Forward(in *loadpb.Forwarded, stream grpc.ServerStreamingServer[loadpb.ResponsePart]) error {
	w := &partWriter{stream: stream, header: make(http.Header)}
	err := h.cfg.Serve(stream.Context(), forwardedFrom(in), w)
	var broken *call.ErrBroken
	switch {
	case errors.Is(err, call.ErrNotForwarded) && !w.started:
		if err := stream.Send(&loadpb.ResponsePart{NotRun: true, Reason: err.Error()}); err != nil {
			return fmt.Errorf("send response: %w", err)
		}
		return nil
	case errors.As(err, &broken):
		if err := stream.Send(&loadpb.ResponsePart{Broken: true, Attempts: uint32(broken.Attempts)}); err != nil {
			return fmt.Errorf("send end of response: %w", err)
		}
		return status.Error(codes.Aborted, err.Error())
	case err != nil:
		return status.Error(codes.Aborted, err.Error())
	default:
		return nil
	}
}

// partWriter sends a response in parts.
type partWriter struct {
	stream  grpc.ServerStreamingServer[loadpb.ResponsePart]
	header  http.Header
	started bool
}

// Header implements http.ResponseWriter.
func (w *partWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *partWriter) WriteHeader(code int) {
	if w.started {
		return
	}
	w.started = true
	// A failed send also fails the next one, of the body or at the end of the call.
	_ = w.stream.Send(&loadpb.ResponsePart{Status: uint32(code), Header: headerMessage(w.header)})
}

// Write implements http.ResponseWriter.
func (w *partWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	sent := 0
	for sent < len(p) {
		n := min(maxPartBytes, len(p)-sent)
		if err := w.stream.Send(&loadpb.ResponsePart{Body: p[sent : sent+n]}); err != nil {
			return sent, fmt.Errorf("send part of a response: %w", err)
		}
		sent += n
	}
	return sent, nil
}

// Flush implements http.Flusher: parts are sent as they are written.
func (w *partWriter) Flush() {}

func headerMessage(h http.Header) []*loadpb.Field {
	return lo.MapToSlice(h, func(name string, values []string) *loadpb.Field {
		return &loadpb.Field{Name: name, Values: lo.Map(values, func(v string, _ int) []byte { return []byte(v) })}
	})
}

func headerFrom(in []*loadpb.Field) http.Header {
	return lo.SliceToMap(in, func(f *loadpb.Field) (string, []string) {
		return f.GetName(), lo.Map(f.GetValues(), func(v []byte, _ int) string { return string(v) })
	})
}

func forwardedMessage(req call.Forwarded) *loadpb.Forwarded {
	return &loadpb.Forwarded{
		Host:      req.Host,
		Method:    req.Method,
		Uri:       []byte(req.URI),
		Authority: []byte(req.Authority),
		Header:    headerMessage(req.Header),
		Body:      req.Body,
		TimeoutMs: uint32(max(1, req.Timeout.Milliseconds())),
		Build:     req.Build,
		HasBuild:  req.HasBuild,
		Attempts:  uint32(max(0, req.Attempts)),
	}
}

func forwardedFrom(in *loadpb.Forwarded) call.Forwarded {
	return call.Forwarded{
		Host:      in.GetHost(),
		Method:    in.GetMethod(),
		URI:       string(in.GetUri()),
		Authority: string(in.GetAuthority()),
		Header:    headerFrom(in.GetHeader()),
		Body:      in.GetBody(),
		Timeout:   time.Duration(in.GetTimeoutMs()) * time.Millisecond,
		Build:     in.GetBuild(),
		HasBuild:  in.GetHasBuild(),
		Attempts:  int(in.GetAttempts()),
	}
}
