package relay

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadastand.dev/core/coord/hold"
	"cicadastand.dev/core/coord/origin"
	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/coord/quota"
	"cicadastand.dev/core/coord/taint"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/core/trans/httpd"
)

const (
	// maxSends limits how often a request is sent, including the times that an endpoint
	// rejected it without running it.
	maxSends = 4
	// maxCrashes is the number of endpoints that may crash on a request before it is
	// rejected.
	maxCrashes = 2
	// defaultMaxBody applies if the configuration sets no limit.
	defaultMaxBody = 4 << 20
	// routeRanks is the number of route ranks within one account rank.
	routeRanks = 3
	// maxRank is the least urgent rank that engines support.
	maxRank = 9
)

// job is a client's request in progress.
type job struct {
	r   *Relay
	w   http.ResponseWriter
	req *http.Request

	start  time.Time
	params call.Request
	view   *mirror.View
	route  *site.Route
	// account is nil on public routes.
	account     *site.Account
	service     *site.Service
	serviceName string
	body        []byte
	// lease charges what the request holds.
	lease *httpd.Lease
	// held is what is in memory of the responses that were read in full.
	held        heldBytes
	fingerprint poison.Fingerprint
	// shared are the parts of the prompt that other requests can have too, in order.
	shared []string
	// deadline is when the client or the route times out, whichever is first;
	// clientDeadline is when the client does.
	deadline       time.Time
	clientDeadline time.Time

	// forwardedBy is the host that received the request from its client; empty if this one
	// did. via is the host that served it instead of this one.
	forwardedBy string
	via         string
	// unsent counts the endpoints to which the request could not be sent since it last was.
	unsent int
	// arrivals counts the endpoints that have received the request from this host, including
	// those that rejected it without running it.
	arrivals int
	// notReached is set if a forwarded request has not run, so that yet another host may
	// serve it.
	notReached bool
	// sends counts how often the request was sent.
	sends int
	// attempts counts the sends after which the endpoint may have run the request.
	attempts int
	// attemptsBefore is the part of attempts by the host that forwarded the request.
	attemptsBefore int
	tried          map[string]bool
	endpoint       string
	// chosen is the last chosen endpoint.
	chosen choice
	// lastResponse is an error response that is forwarded if no retry succeeds.
	lastResponse *response
	// started is set once a part of the response was sent to the client.
	started bool
	// origin is the endpoint that sent the first event of the response.
	origin *site.Endpoint
	// build is the only build that may send the next event, if hasBuild is set.
	build    string
	hasBuild bool
	// originFrom says what build is based on if the client resumes the stream.
	originFrom origin.From
	// recordedAt is when the origin of the stream was last recorded.
	recordedAt time.Duration
	// lastEvent is the ID of the last event that was sent to the client, and streamType the
	// content type of the stream.
	lastEvent  int
	streamType string
	// partial is set if the last response broke off inside an event.
	partial bool
	// answer is the streamed answer of the current attempt to a prompt with shared parts; nil
	// before its first event.
	answer *taint.Answer
	// isRest is set if the current attempt continues a stream, so that its answer is no whole one.
	isRest bool
	// confirmation is in progress for the endpoint that broke off the last attempt; nil if
	// none is.
	confirmation *confirmation
	// charged is the decision on the account's limit, and units the cost of the request in
	// units of the limit; 0 if the account has none.
	charged quota.Decision
	units   float64
	// mayRunElsewhere is set once another host may have run the request.
	mayRunElsewhere bool
	// permitWaited is how long the request waited within endpoints' request limits.
	permitWaited time.Duration
	// roomWaited is how long the request waited for memory of an engine.
	roomWaited time.Duration

	outcome   string
	reason    string
	firstByte time.Duration
}

func (r *Relay) newJob(w http.ResponseWriter, req *http.Request) *job {
	params := r.cfg.Codec.Request(req.Header)
	j := &job{r: r, w: w, req: req, start: r.cfg.Clock.Now(), params: params, shared: sharedParts(&params), held: heldBytes{limit: &r.held}, tried: make(map[string]bool), outcome: "none"}
	j.setLease(httpd.LeaseOf(req.Context()))
	return j
}

func (j *job) setLease(l *httpd.Lease) { j.lease, j.held.lease = l, l }

// admit matches the route, authenticates the client, and then reads the body.
func (j *job) admit() *rejection {
	r := j.r
	j.view = r.cfg.Mirror.View()
	config := j.view.Config
	if config == nil {
		return newRejection(http.StatusServiceUnavailable, r.retryAfterStale(), "no configuration yet")
	}
	route, ok := config.Match(j.req.Host, rawPath(j.req))
	if !ok {
		if !r.isConfigFresh() {
			return newRejection(http.StatusServiceUnavailable, r.retryAfterStale(), "configuration is too old")
		}
		return newRejection(http.StatusNotFound, 0, "no route for this host and path")
	}
	j.route = route
	if fault := j.checkHead(); fault != nil {
		return fault
	}
	if fault := j.authenticate(); fault != nil {
		return fault
	}
	j.setDeadlines()
	j.serviceName = r.pickService(route, cmp.Or(j.streamID(), j.params.ID))
	j.service = config.Services[j.serviceName]
	return j.readBody()
}

// rawPath returns the path as the client sent it: normalizing it could change which
// route matches.
func rawPath(req *http.Request) string {
	path, _, _ := strings.Cut(req.RequestURI, "?")
	return path
}

// isConfigFresh reports whether the configuration is recent enough to accept API
// keys.
func (r *Relay) isConfigFresh() bool {
	age, ok := r.cfg.Mirror.ConfigAge(r.cfg.Clock.Boot())
	return ok && age <= r.cfg.MaxConfigAge
}

// authenticate finds the client account. A key is accepted only while the configuration
// is recent: an older one may lack the revocation of the key.
func (j *job) authenticate() *rejection {
	if !j.view.Config.NeedsKey(j.route) {
		return nil
	}
	if !j.r.isConfigFresh() {
		return newRejection(http.StatusServiceUnavailable, j.r.retryAfterStale(), "configuration is too old to accept keys")
	}
	account, ok := j.view.Config.Account(j.params.Key)
	if !ok {
		return newRejection(http.StatusUnauthorized, 0, "API key is not known")
	}
	j.account = account
	return nil
}

func (j *job) setDeadlines() {
	j.deadline = j.start.Add(j.route.Timeout)
	j.clientDeadline = j.deadline
	if j.params.Timeout > 0 {
		j.clientDeadline = j.start.Add(j.params.Timeout)
		if j.clientDeadline.Before(j.deadline) {
			j.deadline = j.clientDeadline
		}
	}
}

// checkHead rejects a head that is larger than the operator allows.
func (j *job) checkHead() *rejection {
	limit := j.view.Config.Limits.MaxHeaderBytes
	if limit <= 0 || j.forwardedBy != "" {
		return nil
	}
	// The method, the spaces, the protocol and the ends of two lines.
	const rest = len(" HTTP/1.1\r\n \r\n")
	size := rest + len(j.req.Method) + len(j.req.RequestURI) + len("Host: \r\n") + len(j.req.Host)
	for name, values := range j.req.Header {
		for _, v := range values {
			size += len(name) + len(": \r\n") + len(v)
		}
	}
	if size <= limit {
		return nil
	}
	e := newRejection(http.StatusRequestHeaderFieldsTooLarge, 0, "header is larger than %d bytes", limit)
	e.close = true
	return e
}

func (j *job) readBody() *rejection {
	limit := j.view.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if j.req.ContentLength > limit {
		e := newRejection(http.StatusRequestEntityTooLarge, 0, "body is larger than %d bytes", limit)
		e.close = true
		return e
	}
	if fault := j.receiveBody(limit); fault != nil {
		return fault
	}
	j.fingerprint = j.computeFingerprint()
	return nil
}

// receiveBody reads the body from the client, or charges that of a forwarded request.
func (j *job) receiveBody(limit int64) *rejection {
	ctx := j.req.Context()
	var err error
	if j.forwardedBy != "" {
		err = j.lease.Take(ctx, hold.Bodies, int64(len(j.body)))
	} else {
		j.body, err = j.lease.ReadBody(ctx, j.w, j.req.Body, j.req.ContentLength, limit)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return newRejection(http.StatusRequestEntityTooLarge, 0, "body is larger than %d bytes", limit)
	case errors.Is(err, httpd.ErrNoRoom):
		e := newRejection(http.StatusServiceUnavailable, retryAfterBusy, "%v", err)
		e.close = true
		return e
	case errors.Is(err, httpd.ErrStalled):
		e := newRejection(http.StatusRequestTimeout, 0, "%v", err)
		e.close = true
		return e
	default:
		return errBodyIncomplete
	}
}

// releaseBody gives up the body of a request that is not sent again.
func (j *job) releaseBody() {
	j.lease.Give(hold.Bodies, int64(cap(j.body)))
	j.body = nil
}

// pickService chooses among the weighted services of a route by the ID of a request, or of the
// stream that it resumes, so that all attempts go to the same service.
func (r *Relay) pickService(route *site.Route, id string) string {
	total := 0
	for _, t := range route.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return route.Targets[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range route.Targets {
		at -= max(0, t.Weight)
		if at < 0 {
			return t.Service
		}
	}
	return route.Targets[0].Service
}

// rank returns the priority of the request at an engine: by the rank of the client
// account first, then by the rank of the route.
func (j *job) rank() int {
	route := min(max(0, j.route.Rank), routeRanks-1)
	if j.account == nil || !j.account.HasRank {
		return route
	}
	return min(max(0, j.account.Rank)*routeRanks+route, maxRank)
}

// cacheSalt returns a salt that keeps accounts from sharing cached prompt parts that they
// must not share.
func (j *job) cacheSalt() string { return j.view.Config.CacheScope(j.account) }

// run sends the request until there is a response or it can't be retried.
func (j *job) run() {
	now := j.r.cfg.Clock.Boot()
	if j.forwardedBy == "" {
		// The host that received the request from its client has counted it.
		j.r.cfg.Budget.RecordRequest(j.serviceName, now)
	}
	j.r.cfg.Loads.RecordRequest(j.serviceName, now)
	if j.isModel() {
		j.r.prompts.observe(j.serviceName, j.params.PromptTokens)
	}
	ctx, cancel := clock.WithTimeout(j.req.Context(), j.r.cfg.Clock, j.deadline.Sub(j.r.cfg.Clock.Now()))
	defer cancel()
	defer context.AfterFunc(j.r.ending, cancel)()
	if fault := j.findOrigin(ctx); fault != nil {
		j.fail(ctx, fault)
		return
	}
	for {
		retry, fault := j.try(ctx)
		if fault == nil {
			return
		}
		if !retry || ctx.Err() != nil || !j.mayRetry() {
			j.fail(ctx, fault)
			return
		}
	}
}

// try sends the request to an endpoint, or through another host.
func (j *job) try(ctx context.Context) (retry bool, fault *rejection) {
	if j.mustForward() {
		return j.forward(ctx)
	}
	return j.attempt(ctx)
}

// mayRetry reports whether another attempt is allowed. What was not sent takes nothing from
// the retry budget.
func (j *job) mayRetry() bool {
	if j.unsent > 0 {
		return j.sends < maxSends
	}
	return j.attempts < j.route.MaxAttempts && j.sends < maxSends && j.r.cfg.Budget.TakeRetry(j.serviceName, j.r.cfg.Clock.Boot())
}

// fail ends a request without a successful response.
func (j *job) fail(ctx context.Context, fault *rejection) {
	switch {
	case j.forwardedBy != "" && j.unsent > 0 && j.arrivals == 0 && !j.started && j.lastResponse == nil:
		j.outcome, j.reason, j.notReached = "not-reached", fault.reason, true
	case j.req.Context().Err() != nil:
		j.outcome, j.reason = "client-left", fault.reason
	case j.started:
		// Closing the connection is the only way left to signal an incomplete response.
		j.outcome, j.reason = "broken-off", fault.reason
		panic(http.ErrAbortHandler)
	case j.lastResponse != nil:
		// The body is buffered, so it is complete.
		_ = j.writeResponse(j.lastResponse)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		j.reject(errTimeout)
	case j.r.ending.Err() != nil:
		j.reject(newRejection(http.StatusServiceUnavailable, 0, "%v", errEnding))
	default:
		j.reject(fault)
	}
}

// finish logs the outcome of the request and updates the metrics.
func (j *job) finish() {
	j.held.release()
	j.returnUnits()
	took := j.r.cfg.Clock.Now().Sub(j.start)
	j.r.latency.Update(took.Seconds())
	j.r.cfg.Metrics.GetOrCreateCounter(`cicada_relay_requests_total{outcome="` + j.outcome + `"}`).Inc()
	age, _ := j.r.cfg.Mirror.ConfigAge(j.r.cfg.Clock.Boot())
	args := []any{"id", j.params.ID, "outcome", j.outcome, "ms", took.Milliseconds(), "sends", j.sends, "attempts", j.attempts, "may-run-elsewhere", j.mayRunElsewhere, "config-age-ms", age.Milliseconds()}
	if j.view != nil && j.view.Config != nil {
		args = append(args, "config", j.view.Config.Version)
	}
	if j.route != nil {
		args = append(args, "route", j.route.Name, "endpoint", j.endpoint)
	}
	if j.account != nil {
		args = append(args, "account", j.account.Name)
	}
	args = append(args, j.quotaArgs()...)
	if j.via != "" {
		args = append(args, "via", j.via)
	}
	if j.forwardedBy != "" {
		args = append(args, "forwarded-by", j.forwardedBy)
	}
	if j.chosen.endpoint != nil {
		args = append(args, "build", j.chosen.endpoint.Build)
	}
	if j.params.LastEvent > 0 {
		args = append(args, "resumes", j.params.Resumes, "after-event", j.params.LastEvent, "began-build", j.build, "began-from", j.originFrom)
	}
	if j.isModel() && j.chosen.endpoint != nil {
		args = append(args, "rank", j.rank(), "tokens", j.chosen.prefillTokens, "ahead", j.chosen.tokensAhead, "waiting", math.Round(10*j.chosen.waiting)/10, "memory", j.chosen.memory, "lacking", j.chosen.lacking,
			"expect-ms", j.chosen.firstToken.Milliseconds(), "weights", j.chosen.weights, "shared", j.chosen.shared, "held", j.chosen.cached, "source", j.chosen.sourceName, "save", j.chosen.store != nil)
	}
	if j.chosen.replacedFor > 0 {
		args = append(args, "replaced-ms", j.chosen.replacedFor.Milliseconds())
	}
	if j.permitWaited > 0 {
		args = append(args, "limit-wait-ms", j.permitWaited.Milliseconds())
	}
	if j.roomWaited > 0 {
		args = append(args, "room-wait-ms", j.roomWaited.Milliseconds())
	}
	if j.firstByte > 0 {
		args = append(args, "first-ms", j.firstByte.Milliseconds())
	}
	if j.reason != "" {
		args = append(args, "reason", j.reason)
	}
	j.r.cfg.Logger.Info("request", args...)
}
