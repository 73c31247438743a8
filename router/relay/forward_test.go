package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cicadastand.dev/core/coord/budget"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/platform/codec"
)

// otherHost is a host that responds to all requests alike.
type otherHost struct {
	status int
	build  string
	body   io.Reader
}

func (h otherHost) Forward(context.Context, call.Forwarded) (*call.ForwardedResponse, error) {
	header := http.Header{"Content-Type": {"text/event-stream"}, headerBuild: {h.build}}
	return &call.ForwardedResponse{Host: "other", Status: h.status, Header: header, Body: io.NopCloser(h.body)}, nil
}

// brokenStream returns a stream that breaks off after two events.
func brokenStream() io.Reader {
	return io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), brokenBody{err: &call.ErrBroken{Attempts: 1}})
}

// newForwarded returns a request for a stream that another host serves.
func newForwarded(peer otherHost) (*job, *httptest.ResponseRecorder) {
	r := &Relay{cfg: Config{Clock: clock.NewFake(time.Unix(1000, 0)), Codec: codec.Codec{}, Peers: peer, Logger: hclog.NewNullLogger()}, forwardedTotal: &metrics.Counter{}}
	client := httptest.NewRecorder()
	return &job{r: r, w: client, req: httptest.NewRequest("POST", "/chat/", nil), route: &site.Route{Kind: site.Stream, Resumable: true}}, client
}

type brokenBody struct{ err error }

func (b brokenBody) Read([]byte) (int, error) { return 0, b.err }

// Another host has begun a stream for this one and breaks it off. Wherever this host resumes it,
// the build that began it must go on.
func TestStreamThatAnotherHostBeganKeepsItsBuild(t *testing.T) {
	is := is.New(t)
	j, client := newForwarded(otherHost{status: http.StatusOK, build: "v1", body: brokenStream()})
	retry, fault := j.forward(context.Background())
	is.True(retry && fault != nil)
	is.Equal(j.lastEvent, 2)
	is.Equal(client.Header().Get(headerBuild), "") // between hosts only
	list := []*site.Endpoint{{ID: "a", Build: "v2"}, {ID: "b", Build: "v1"}}
	is.True(j.hasBuild)
	is.Equal(j.withRequiredBuild(list), list[1:])
	is.Equal(j.forwarded().Build, "v1")
	j.r.cfg.Peers = otherHost{status: http.StatusOK, build: "v2", body: brokenStream()}
	retry, fault = j.forward(context.Background())
	is.True(!retry && fault != nil) // not joined
	is.Equal(j.lastEvent, 2)
}

// Another host breaks off a response, or is lost. Its attempts count as those of this host; a
// host that is lost may have made all that the route allows.
func TestAttemptsOfAnotherHostAreCounted(t *testing.T) {
	lost := errors.New("connection lost")
	for name, test := range map[string]struct {
		err  error
		want int
	}{
		"broken off": {&call.ErrBroken{Attempts: 2}, 3},
		"lost":       {lost, 4},
	} {
		for _, kind := range []site.Kind{site.Stream, site.Idempotent} {
			t.Run(fmt.Sprint(name, " ", kind), func(t *testing.T) {
				is := is.New(t)
				j, _ := newForwarded(otherHost{status: http.StatusOK, build: "v1", body: brokenBody{err: test.err}})
				j.route.Kind, j.route.MaxAttempts = kind, 4
				j.attempts = 1
				_, fault := j.forward(context.Background())
				is.True(fault != nil)
				is.Equal(j.attempts, test.want)
			})
		}
	}
}

// Another host ends a stream before its first event. That is no empty response.
func TestForwardedStreamWithoutEventsIsNotComplete(t *testing.T) {
	is := is.New(t)
	j, _ := newForwarded(otherHost{status: http.StatusOK, build: "v1", body: strings.NewReader("")})
	retry, fault := j.forward(context.Background())
	is.True(retry && fault != nil)
}

// This host has sent a request to an endpoint before, so another one's 503, which clients take
// as proof that it has not run, is not passed on.
func TestRejectionByAnotherHostIsNotPassedOnAfterAnAttempt(t *testing.T) {
	is := is.New(t)
	busy := otherHost{status: http.StatusServiceUnavailable, body: strings.NewReader("busy")}
	j, client := newForwarded(busy)
	_, fault := j.forward(context.Background())
	is.True(fault == nil)
	is.Equal(client.Code, http.StatusServiceUnavailable)
	j, _ = newForwarded(busy)
	j.attempts = 1
	_, fault = j.forward(context.Background())
	is.Equal(fault.status, http.StatusBadGateway)
}

// lostHost is a host that does not answer before the request ends, or is lost.
type lostHost struct{ err error }

func (h lostHost) Forward(ctx context.Context, _ call.Forwarded) (*call.ForwardedResponse, error) {
	if h.err != nil {
		return nil, h.err
	}
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

// Whichever way a request ends that another host may have run, its client is not told that it has
// not run. If the other host says so, it is.
func TestRequestThatMayRunElsewhereIsNotRefused(t *testing.T) {
	const busy, unknown = http.StatusServiceUnavailable, http.StatusBadGateway
	noRoom := newRejection(busy, time.Second, "no room")
	for name, test := range map[string]struct {
		peer Peers
		// later ends the request after another host was asked.
		later *rejection
		want  int
	}{
		"this host ends":                     {lostHost{}, nil, unknown},
		"the other host is lost":             {lostHost{errors.New("connection lost")}, nil, unknown},
		"rejected after the other was lost":  {lostHost{errors.New("connection lost")}, noRoom, unknown},
		"rejected after a broken response":   {lostHost{&call.ErrBroken{}}, noRoom, unknown},
		"the limit is reached after it":      {lostHost{&call.ErrBroken{}}, newRejection(http.StatusTooManyRequests, 0, "limit"), unknown},
		"no other host could serve it":       {lostHost{call.ErrNotForwarded}, nil, busy},
		"the other host says it has not run": {otherHost{status: busy, body: strings.NewReader("busy")}, nil, busy},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j, client := newForwarded(otherHost{})
			j.r.cfg.Peers = test.peer
			j.route.Kind, j.route.Resumable = site.NonIdempotent, false
			j.r.ending, j.r.end = context.WithCancelCause(context.Background())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if name == "this host ends" {
				j.r.End()
				cancel()
			}
			_, fault := j.forward(ctx)
			if test.later != nil {
				fault = test.later
			}
			if fault != nil {
				j.fail(ctx, fault)
			}
			is.Equal(client.Code, test.want)
		})
	}
}

// Hosts without a path to the endpoints pass requests on while engines crash and reject many.
// A request that has reached an engine was retried without a charge to the retry budget, here
// and at yet another host, if some endpoint had not been reached before.
func TestRequestThatHasArrivedIsNotRetriedWithoutBudget(t *testing.T) {
	is := is.New(t)
	j, client := newForwarded(otherHost{})
	j.r.cfg.Budget = budget.New(budget.Config{Window: 10 * time.Second})
	j.r.ending = context.Background()
	j.forwardedBy, j.route.MaxAttempts, j.sends = "other", 4, 1
	j.unsent = 1
	is.True(j.mayRetry()) // nothing has arrived
	j.recordArrival()
	is.True(!j.mayRetry())
	j.unsent++
	j.fail(context.Background(), newRejection(http.StatusServiceUnavailable, 0, "busy"))
	is.True(!j.notReached) // no other host sends it again
	is.Equal(client.Code, http.StatusServiceUnavailable)
}
