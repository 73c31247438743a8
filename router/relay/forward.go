package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/core/trans/httpd"
	"cicadastand.dev/router/conns"
)

// maxUnsent is the number of endpoints that a request could not be sent to before it goes
// through another host, also if this host is not found to be cut off.
const maxUnsent = 2

// headerBuild tells the host that forwarded a request which build sends the stream. It goes
// between hosts only.
const headerBuild = "Cicada-Build"

var errCutOff = errors.New("this host does not reach the endpoints of the service")

// mustForward reports whether the request goes through another host. A forwarded request is
// not forwarded again.
func (j *job) mustForward() bool {
	if j.forwardedBy != "" || j.r.cfg.HostCount() < 2 {
		return false
	}
	return j.unsent >= maxUnsent || j.r.cfg.Reach.IsCutOff(j.serviceName)
}

// forward has another host send the request.
func (j *job) forward(ctx context.Context) (retry bool, fault *rejection) {
	r := j.r
	// The message to the other host holds a copy of the body.
	size := int64(len(j.body))
	if !j.lease.TryTake(hold.Bodies, size) {
		return false, newRejection(http.StatusServiceUnavailable, retryAfterBusy, "%v to forward", httpd.ErrNoRoom)
	}
	defer j.lease.Give(hold.Bodies, size)
	j.sends++
	j.unsent = 0
	ranBefore := j.mayRunElsewhere
	j.mayRunElsewhere = true
	resp, err := r.cfg.Peers.Forward(ctx, j.forwarded())
	switch {
	case errors.Is(err, call.ErrNotForwarded):
		j.mayRunElsewhere = ranBefore
		return false, newRejection(http.StatusServiceUnavailable, retryAfterBusy+j.spread(retryAfterBusy), "%v: %v", errCutOff, err)
	case err != nil && ctx.Err() != nil:
		return false, errTimeout
	case err != nil:
		j.countBroken(err)
		return j.route.Retryable(), newRejection(http.StatusBadGateway, 0, "%v", err)
	}
	defer func() {
		if err := resp.Body.Close(); err != nil {
			r.cfg.Logger.Debug("failed to close the response of another host", "id", j.params.ID, "host", resp.Host, "error", err)
		}
	}()
	j.via = resp.Host
	if saysNotRun(resp.Status) {
		j.mayRunElsewhere = ranBefore
	}
	r.forwardedTotal.Inc()
	if resp.Status == http.StatusOK && j.route.Kind == site.Stream {
		return j.forwardStream(ctx, resp)
	}
	if j.started {
		return false, newRejection(http.StatusBadGateway, 0, "host %s answered a resumed stream with %d", resp.Host, resp.Status)
	}
	return j.forwardResponse(ctx, resp)
}

// countBroken counts the attempts of another host whose response was broken off. Unless the
// host told their number, it may have made all that the route allows.
func (j *job) countBroken(err error) {
	var broken *call.ErrBroken
	if errors.As(err, &broken) {
		j.attempts += broken.Attempts
		return
	}
	j.attempts = max(j.attempts+1, j.route.MaxAttempts)
}

// forwarded returns the request for another host. A stream that has begun goes on there after
// its last event.
func (j *job) forwarded() call.Forwarded {
	header := j.req.Header.Clone()
	last := max(j.lastEvent, j.params.LastEvent)
	j.r.cfg.Codec.SetResumed(header, last, j.streamID())
	return call.Forwarded{
		Method:    j.req.Method,
		URI:       j.req.RequestURI,
		Authority: j.req.Host,
		Header:    header,
		Body:      j.body,
		Timeout:   j.clientDeadline.Sub(j.r.cfg.Clock.Now()),
		Build:     j.build,
		HasBuild:  j.hasBuild,
		Attempts:  j.attempts,
	}
}

// forwardResponse sends the response of another host to the client.
func (j *job) forwardResponse(ctx context.Context, resp *call.ForwardedResponse) (retry bool, fault *rejection) {
	body, complete, err := j.held.readBody(resp.Body)
	if err != nil {
		if ctx.Err() != nil {
			return false, errTimeout
		}
		j.countBroken(err)
		return j.route.Retryable(), newRejection(http.StatusBadGateway, 0, "host %s broke off its response: %v", resp.Host, err)
	}
	if j.mayHaveRun() && saysNotRun(resp.Status) {
		return false, newRejection(http.StatusBadGateway, 0, "an endpoint may have run the request; host %s answered %d", resp.Host, resp.Status)
	}
	j.copyHeader(resp.Header)
	j.outcome = strconv.Itoa(resp.Status)
	j.firstByte = j.r.cfg.Clock.Now().Sub(j.start)
	j.w.WriteHeader(resp.Status)
	if _, err := j.w.Write(body); err != nil {
		j.reason = "writing the response to the client failed: " + err.Error()
		return false, nil
	}
	if complete {
		return false, nil
	}
	j.started = true
	if err := j.forwardRest(resp.Body); err != nil {
		return false, newRejection(http.StatusBadGateway, 0, "host %s broke off its response: %v", resp.Host, err)
	}
	return false, nil
}

// forwardStream sends the events that come from another host to the client. If they break off,
// a retry resumes the stream.
func (j *job) forwardStream(ctx context.Context, resp *call.ForwardedResponse) (retry bool, fault *rejection) {
	build := resp.Header.Get(headerBuild)
	resp.Header.Del(headerBuild)
	if j.hasBuild && build != j.build {
		return false, newRejection(http.StatusBadGateway, 0, "host %s resumed the stream at software version %q instead of %q", resp.Host, build, j.build)
	}
	j.build, j.hasBuild = build, true
	source := j.newEventReader(resp.Body)
	defer source.held.release()
	answer := &conns.Response{Status: resp.Status, Header: resp.Header}
	for first := true; ; first = false {
		event, err := source.next()
		if errors.Is(err, io.EOF) && !first {
			j.outcome = "200"
			return false, nil
		}
		if err == nil {
			err = j.checkEvent(event)
		}
		if err != nil {
			if ctx.Err() != nil {
				return false, errTimeout
			}
			j.countBroken(err)
			return j.route.Retryable(), newRejection(http.StatusBadGateway, 0, "host %s broke off after event %d: %v", resp.Host, j.lastEvent, err)
		}
		if j.firstByte == 0 {
			j.firstByte = j.r.cfg.Clock.Now().Sub(j.start)
		}
		if err := j.writeEvent(answer, event); err != nil {
			return false, newRejection(http.StatusBadGateway, 0, "client did not take event: %v", err)
		}
	}
}

// ServeForwarded serves a request of a client of another host. It returns
// call.ErrNotForwarded if the request has not run because this host can't serve it, and
// call.ErrBroken if the response was broken off.
func (r *Relay) ServeForwarded(ctx context.Context, f call.Forwarded, w http.ResponseWriter) (err error) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.stopping.Load() {
		return fmt.Errorf("%w: this host is stopping", call.ErrNotForwarded)
	}
	req := (&http.Request{
		Method:        f.Method,
		Host:          f.Authority,
		RequestURI:    f.URI,
		Header:        f.Header,
		ContentLength: int64(len(f.Body)),
	}).WithContext(ctx)
	lease := r.cfg.Guard.Open()
	defer lease.Close()
	j := r.newJob(w, req)
	j.setLease(lease)
	j.forwardedBy, j.body = f.Host, f.Body
	j.params.Timeout = f.Timeout
	j.build, j.hasBuild = f.Build, f.HasBuild
	j.attempts, j.attemptsBefore = f.Attempts, f.Attempts
	defer j.finish()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			err = &call.ErrBroken{Attempts: j.attempts - j.attemptsBefore}
		}
	}()
	if fault := j.admit(); fault != nil {
		j.reject(fault)
		return nil
	}
	if r.cfg.Reach.IsCutOff(j.serviceName) || !r.confirmReach(ctx, j.serviceName) {
		j.notReached = true
		j.outcome = "not-reached"
	} else {
		j.run()
	}
	if j.notReached {
		return fmt.Errorf("%w: %w", call.ErrNotForwarded, errCutOff)
	}
	return nil
}
