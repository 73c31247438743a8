package send

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"cicadastand.dev/core/coord/health"
	"cicadastand.dev/core/proto/engine"
	"cicadastand.dev/core/proto/openai"
	"cicadastand.dev/core/state/fleet"
	"cicadastand.dev/core/state/index"
	"cicadastand.dev/core/state/prefix"
)

const (
	maxEventBytes = 1 << 20
	maxErrorBytes = 64 << 10
)

// send makes one attempt to run the job on an endpoint. The stream starts at the
// event after the last one that the sink has.
func (d *Dispatcher) send(ctx context.Context, r *run, e fleet.Endpoint) error {
	r.result.Sends++
	r.result.Endpoint = e.Name
	d.sends.Inc()
	start := d.cfg.Clock.Now()
	d.cfg.Health.RequestSent(e.Name, r.prompt)
	// The prefix counts as cached once the request is sent, so that the next request
	// with the same prefix is sent to this endpoint.
	d.cfg.Index.Expect(e.Name, r.job.chain, start)
	a := &attempt{d: d, r: r, e: e, sent: start, queued: true}
	defer func() {
		a.dequeue()
		d.cfg.Health.RequestFinished(e.Name, d.cfg.Clock.Now().Sub(start))
		d.cfg.Poison.Finish(e.Name, r.job.fingerprint)
	}()
	ctx, wd := newWatchdog(ctx, d.cfg.Clock, d.cfg.StallTimeout, d.prefillTime(e))
	defer wd.stop()
	a.watchdog = wd
	err := a.do(ctx)
	if err == nil {
		return nil
	}
	if wd.fired() {
		return a.fail(faultStalled, err)
	}
	return err
}

// prefillFactor allows for an engine whose prefill is slower than configured.
const prefillFactor = 4

// prefillTime returns the maximum time for the prefill of the prompts that are
// queued at an endpoint.
func (d *Dispatcher) prefillTime(e fleet.Endpoint) time.Duration {
	tokens := d.cfg.Health.Get(e.Name).QueuedTokens()
	return time.Duration(prefillFactor * float64(tokens) / e.PrefillRate * float64(time.Second))
}

// attempt is one attempt to run a job on an endpoint.
type attempt struct {
	d        *Dispatcher
	r        *run
	e        fleet.Endpoint
	sent     time.Time
	watchdog *watchdog
	queued   bool
	// export is the number of leading pieces that the engine is asked to export.
	export int
	// incarnation is the one that has to run the request; empty if none is known.
	incarnation string
	// reused is set if the request was sent on a connection that others had used.
	reused bool
}

func (a *attempt) fail(f fault, err error) error {
	return &sendError{fault: f, endpoint: a.e.Name, err: err}
}

func (a *attempt) dequeue() {
	if a.queued {
		a.queued = false
		a.d.cfg.Health.RequestDequeued(a.e.Name, a.r.prompt)
	}
}

func (a *attempt) do(ctx context.Context) error {
	resp, err := a.request(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		if !a.isRejectionOf(resp.Header) {
			a.d.dropped.Inc()
			return a.fail(faultMismatch, fmt.Errorf("rejection with status %d belongs to another request", resp.StatusCode))
		}
		a.recordIncarnation(resp.Header)
		return a.statusError(resp)
	}
	if err := a.checkIdentity(resp.Header); err != nil {
		return err
	}
	a.recordCacheUse(resp.Header)
	a.d.cfg.Health.RecordSuccess(a.e.Name, a.sent)
	if err := a.copy(ctx, resp.Body); err != nil {
		return err
	}
	// The body is read to its end so that the connection can be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes))
	return nil
}

func (a *attempt) request(ctx context.Context) (*http.Response, error) {
	path := "/v1/chat/completions"
	if a.r.job.Request.Kind == openai.Text {
		path = "/v1/completions"
	}
	url := "http://" + a.e.Address.String() + path
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { a.reused = c.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(a.r.job.body))
	if err != nil {
		return nil, a.fail(faultInvalid, fmt.Errorf("make request: %w", err))
	}
	a.setHeader(req.Header)
	resp, err := a.d.http.Do(req)
	if err == nil {
		return resp, nil
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, a.fail(faultUnreachable, err)
	}
	return nil, a.fail(faultDisconnected, err)
}

func (a *attempt) setHeader(h http.Header) {
	j := a.r.job
	h.Set("Content-Type", "application/json")
	h.Set(engine.HeaderRequestID, j.ID)
	h.Set(engine.HeaderAttempt, strconv.Itoa(a.r.result.Sends))
	h.Set(engine.HeaderAccount, j.Account)
	h.Set(engine.HeaderPriority, string(j.Rank))
	h.Set(engine.HeaderWeights, j.Model.WeightsVersion)
	a.incarnation = a.d.cfg.Health.Get(a.e.Name).Report.Incarnation
	if a.incarnation != "" {
		h.Set(engine.HeaderIncarnation, a.incarnation)
	}
	if j.Model.Adapter != "" {
		h.Set(engine.HeaderAdapter, j.Model.Adapter)
	}
	a.setOffloadHeaders(h)
	if a.r.next > 0 {
		h.Set(engine.HeaderResumeFrom, strconv.Itoa(a.r.next))
	}
}

// setOffloadHeaders lets the engine import all pieces that it finds in the KV cache
// store, since a lookup costs far less than prefill. It also asks the engine to export
// the pieces that were requested repeatedly and are not in the store yet.
func (a *attempt) setOffloadHeaders(h http.Header) {
	if a.d.cfg.Views.View().Fleet.ImportRate <= 0 {
		return
	}
	h.Set(engine.HeaderImport, strconv.Itoa(len(a.r.job.chain)))
	a.export = index.RequestedAtLeast(a.r.job.demand, a.d.cfg.Views.View().Fleet.ExportAfter)
	if float64(a.export) <= a.r.offloaded {
		a.export = 0
		return
	}
	h.Set(engine.HeaderExport, strconv.Itoa(a.export))
}

// recordOffloaded updates the index of the KV cache store from the numbers of cached
// and imported tokens that the response reports.
func (a *attempt) recordOffloaded(cached, imported int) {
	j := a.r.job
	now := a.d.cfg.Clock.Now()
	if a.d.cfg.Views.View().Fleet.ImportRate <= 0 {
		return
	}
	found := min((cached+imported)/prefix.PieceTokens, len(j.chain))
	if imported > 0 {
		a.d.cfg.Index.Confirm(offloadStore, "", j.chain[:found], now)
	}
	if a.r.offloaded > float64(cached/prefix.PieceTokens) {
		a.d.cfg.Index.Observe(offloadStore, j.chain, found, now)
	}
	if a.export > 0 {
		a.d.cfg.Index.Confirm(offloadStore, "", j.chain[:a.export], now)
	}
}

// statusError returns the error for a response with a status other than 200.
func (a *attempt) statusError(resp *http.Response) error {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	err := fmt.Errorf("engine answered %d: %s", resp.StatusCode, bytes.TrimSpace(raw))
	switch resp.StatusCode {
	case http.StatusConflict:
		return a.fail(faultMismatch, err)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		invalid := openai.NewError(http.StatusBadRequest, openai.CodeBadField, "%v", err)
		return a.fail(faultInvalid, invalid)
	default:
		return a.fail(faultRejected, err)
	}
}

// isRejectionOf reports whether a rejection belongs to this attempt. A faulty engine may
// repeat an earlier one on a kept connection, so only the first response on a connection is
// taken without an ID.
func (a *attempt) isRejectionOf(h http.Header) bool {
	if id := h.Get(engine.HeaderRequestID); id != "" || a.reused {
		return id == a.r.job.ID && h.Get(engine.HeaderAttempt) == strconv.Itoa(a.r.result.Sends)
	}
	return true
}

// checkIdentity verifies that the response belongs to this attempt and comes from
// the expected incarnation and weights version.
func (a *attempt) checkIdentity(h http.Header) error {
	j := a.r.job
	if h.Get(engine.HeaderRequestID) != j.ID || h.Get(engine.HeaderAttempt) != strconv.Itoa(a.r.result.Sends) {
		a.d.dropped.Inc()
		return a.fail(faultMismatch, errors.New("the answer belongs to another request"))
	}
	if got := h.Get(engine.HeaderWeights); got != j.Model.WeightsVersion {
		return a.fail(faultMismatch, fmt.Errorf("engine ran weights %q", got))
	}
	if got := h.Get(engine.HeaderIncarnation); a.incarnation != "" && got != a.incarnation {
		a.recordIncarnation(h)
		return a.fail(faultMismatch, fmt.Errorf("engine ran as incarnation %q", got))
	}
	return nil
}

// recordIncarnation records the incarnation that the response names. The index
// drops the cache entries of an earlier incarnation.
func (a *attempt) recordIncarnation(h http.Header) {
	incarnation := h.Get(engine.HeaderIncarnation)
	if a.d.cfg.Health.RecordIncarnation(a.e.Name, incarnation) {
		a.d.cfg.Logger.Info("endpoint has a new incarnation", "endpoint", a.e.Name, "incarnation", incarnation)
		a.d.cfg.Index.SetIncarnation(a.e.Name, incarnation)
	}
}

// recordCacheUse updates the index and the load estimates from the cache hits that
// the response reports.
func (a *attempt) recordCacheUse(h http.Header) {
	cached, err := strconv.Atoi(h.Get(engine.HeaderCachedTokens))
	if err != nil || cached < 0 {
		return
	}
	j := a.r.job
	if a.r.result.PromptTokens == 0 {
		a.r.result.PromptTokens = j.tokens
		a.r.result.CachedTokens = min(cached, j.tokens)
	}
	imported, _ := strconv.Atoi(h.Get(engine.HeaderImportedTokens))
	a.recordOffloaded(cached, imported)
	a.d.cfg.Health.RecordCacheMiss(a.e.Name, health.Prompt{Tokens: j.tokens, UncachedTokens: j.tokens - cached - imported})
	now := a.d.cfg.Clock.Now()
	pieces := min(cached/prefix.PieceTokens, len(j.chain))
	if a.r.isOwner {
		a.d.ownerHitRate.Observe(len(j.chain), a.r.cached, pieces)
	}
	a.d.cfg.Index.Observe(a.e.Name, j.chain, pieces, now)
	a.d.cfg.Index.Confirm(a.e.Name, h.Get(engine.HeaderIncarnation), j.chain, now)
}

// copy forwards the events to the sink and verifies that none is missing or out of
// order.
func (a *attempt) copy(ctx context.Context, body io.Reader) error {
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return a.fail(faultDisconnected, err)
		}
		number, err := strconv.Atoi(ev.LastEventID)
		if err != nil || number != a.r.next+1 {
			return a.fail(faultDisconnected, fmt.Errorf("event %q follows event %d", ev.LastEventID, a.r.next))
		}
		a.dequeue()
		if a.r.result.FirstToken.IsZero() {
			a.r.result.FirstToken = a.d.cfg.Clock.Now()
		}
		a.watchdog.pause()
		if err := a.r.sink.Event(ctx, number, []byte(ev.Data)); err != nil {
			return a.fail(faultCaller, err)
		}
		a.watchdog.restart()
		a.r.next = number
		clear(a.r.tried)
		if ev.Data == openai.Done {
			return nil
		}
		a.r.result.AnswerTokens++
	}
	return a.fail(faultDisconnected, io.ErrUnexpectedEOF)
}
