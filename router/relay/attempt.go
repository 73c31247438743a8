package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/shed"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/router/conns"
)

// refusedPause is how long an endpoint that refused takes no requests: about the
// time to load weights, or to read some prompts of its queue.
const refusedPause = 150 * time.Millisecond

// maxAnswer bounds an answer that is read whole before it is passed on.
const maxAnswer = 8 << 20

// answer is an endpoint's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request once. A nil fault means that the client has its
// answer; otherwise again tells whether another send is safe.
func (j *job) attempt(ctx context.Context) (again bool, fault *rejection) {
	r := j.r
	if err := r.cfg.Poison.Check(j.fingerprint, maxCrashes, r.cfg.Clock.Now()); err != nil {
		return false, refuse(http.StatusServiceUnavailable, 0, "%v", err)
	}
	c, fault := j.choose(ctx)
	if fault != nil {
		return false, fault
	}
	j.chosen = c
	if j.isModel() {
		if ok, wait := shed.Decide(j.demand(c)); !ok {
			return false, refuse(http.StatusServiceUnavailable, wait, "first token is expected in %d ms, and %.1f requests wait for each engine", c.expect.Milliseconds(), c.waiting)
		}
	}
	// The host may have been suspended since the request came in.
	if j.account != nil && !r.fresh() {
		return false, refuse(http.StatusServiceUnavailable, r.retryStale(), "configuration is too old to accept keys")
	}
	left := j.patience.Sub(r.cfg.Clock.Now())
	if left <= 0 {
		return false, errTimeout
	}
	j.sends++
	j.ran++
	j.endpoint = c.endpoint.ID
	j.tried[c.endpoint.ID] = true
	j.placed(c, c.weights)
	ticket := r.cfg.Loads.Track(c.endpoint.ID, j.rank(), c.read)
	defer ticket.Done()
	sent := r.cfg.Clock.Now()
	reply, err := r.cfg.Conns.Send(ctx, conns.Target{Incarnation: c.endpoint.ID, Address: c.endpoint.Address}, j.message(c, left), j.isOwn)
	if err != nil {
		return j.sendFailed(ctx, c, err)
	}
	defer reply.Close()
	return j.receive(ctx, c, reply, ticket, sent)
}

// demand is what the decision to refuse early goes by.
func (j *job) demand(c choice) shed.Request {
	now := j.r.cfg.Clock.Now()
	return shed.Request{
		Waiting:            c.waiting,
		ExpectedFirstToken: c.expect,
		ExpectedWait:       c.wait,
		Elapsed:            now.Sub(j.start),
		Target:             j.route.TargetLatency,
		Remaining:          j.due.Sub(now),
		Started:            j.begun,
		Jitter:             float64(j.fingerprint[0]) / 256,
	}
}

func (j *job) isOwn(h http.Header, id string) bool {
	got := j.r.cfg.Codec.Answer(h).ID
	return got == id || got == ""
}

func (j *job) message(c choice, left time.Duration) conns.Request {
	send := call.Send{
		Incarnation: c.endpoint.ID,
		Left:        left,
		Wall:        j.wall(),
		LastEvent:   max(j.lastEvent, j.ask.LastEvent),
	}
	if j.account != nil {
		send.Account = j.account.Name
	}
	if j.isModel() {
		send.HasRank, send.Rank = true, j.rank()
		j.setCache(&send, c)
	}
	return conns.Request{
		ID:     j.ask.ID,
		Method: j.req.Method,
		URI:    j.req.RequestURI,
		Host:   j.req.Host,
		Header: j.r.cfg.Codec.Forward(j.req.Header, send),
		Body:   j.body,
		Once:   !j.route.MayRepeat(),
	}
}

// isModel reports whether the request is a generation.
func (j *job) isModel() bool { return j.service != nil && j.service.Engine != nil }

// sendFailed decides after a send that got no answer.
func (j *job) sendFailed(ctx context.Context, c choice, err error) (again bool, fault *rejection) {
	if ctx.Err() == nil {
		j.shun(c, err)
	}
	if conns.IsErrUnsent(err) {
		j.ran--
		return true, refuse(http.StatusServiceUnavailable, retryBusy, "endpoint %s: %v", c.endpoint.ID, err)
	}
	if ctx.Err() != nil {
		return false, errTimeout
	}
	return j.broken(fmt.Sprintf("endpoint %s broke off: %v", c.endpoint.ID, err))
}

// shun keeps requests away from an endpoint that failed.
func (j *job) shun(c choice, err error) {
	if j.r.cfg.Ejection.RecordFailure(c.endpoint.ID, j.r.cfg.Clock.Boot()) {
		j.r.cfg.Logger.Warn("endpoint shunned", "id", j.ask.ID, "endpoint", c.endpoint.ID, "error", err)
	}
}

// broken notes that an endpoint broke off while it may have run the request.
func (j *job) broken(reason string) (again bool, fault *rejection) {
	j.r.cfg.Poison.RecordCrash(j.fingerprint, j.r.cfg.Clock.Now())
	return j.route.MayRepeat(), refuse(http.StatusBadGateway, 0, "%s", reason)
}

// receive takes the endpoint's answer.
func (j *job) receive(ctx context.Context, c choice, reply *conns.Response, ticket *load.Request, sent time.Time) (again bool, fault *rejection) {
	r := j.r
	a := r.cfg.Codec.Answer(reply.Header)
	if a.NotRun || reply.Status == http.StatusMisdirectedRequest {
		j.drain(reply)
		if reply.Status == http.StatusMisdirectedRequest && c.firm {
			r.weights.refuted(c.endpoint.ID, c.weights)
		}
		j.ran--
		r.cfg.Ejection.RecordRejection(c.endpoint.ID, r.cfg.Clock.Boot(), refusedPause)
		return true, refuse(http.StatusServiceUnavailable, retryBusy, "endpoint %s did not run the request: status %d", c.endpoint.ID, reply.Status)
	}
	if j.r.cfg.Ejection.RecordSuccess(c.endpoint.ID) {
		j.r.cfg.Logger.Info("endpoint answers again", "id", j.ask.ID, "endpoint", c.endpoint.ID)
	}
	if a.Weights > c.weights {
		r.weights.answered(c.endpoint.ID, a.Weights)
		j.placed(c, a.Weights)
	}
	success := reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices
	if !a.Sealed || reply.Header.Get("Content-Encoding") != "" {
		return j.broken(fmt.Sprintf("endpoint %s gave an answer without proof, status %d", c.endpoint.ID, reply.Status))
	}
	if success && j.route.Kind == site.Stream {
		return j.stream(ctx, c, reply, ticket, sent)
	}
	body, err := io.ReadAll(io.LimitReader(reply, maxAnswer))
	if err != nil {
		if ctx.Err() != nil {
			return false, errTimeout
		}
		return j.broken(fmt.Sprintf("endpoint %s cut its answer: %v", c.endpoint.ID, err))
	}
	whole := &answer{status: reply.Status, header: reply.Header, body: body}
	if !success && j.route.MayRepeat() && !j.begun {
		j.last = whole
		return true, refuse(http.StatusBadGateway, 0, "endpoint %s failed with %d", c.endpoint.ID, reply.Status)
	}
	if j.begun {
		return false, refuse(http.StatusBadGateway, 0, "endpoint %s answered a resumed stream with %d", c.endpoint.ID, reply.Status)
	}
	if success {
		j.r.cfg.Poison.RecordCompletion(j.fingerprint)
	}
	j.pass(whole)
	return false, nil
}

// drain reads what is left of a short answer so that its channel can be kept.
func (j *job) drain(reply *conns.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(reply, maxAnswer)); err != nil {
		j.r.cfg.Logger.Debug("refusal broke off", "id", j.ask.ID, "error", err)
	}
}

// pass gives an endpoint's whole answer to the client. A status that would
// promise that the request has not run can't stand where it has.
func (j *job) pass(a *answer) {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		j.reject(refuse(http.StatusBadGateway, 0, "endpoint %s ran the request and answered %d", j.endpoint, a.status))
		return
	}
	h := j.w.Header()
	closing := h.Get("Connection")
	j.r.cfg.Codec.Return(h, a.header)
	if closing != "" {
		h.Set("Connection", closing)
	}
	h.Set("Content-Length", fmt.Sprint(len(a.body)))
	j.outcome = fmt.Sprint(a.status)
	j.firstByte = j.r.cfg.Clock.Now().Sub(j.start)
	j.w.WriteHeader(a.status)
	if _, err := j.w.Write(a.body); err != nil {
		j.reason = "the client did not take the answer: " + err.Error()
	}
}
