package relay

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadastand.dev/core/coord/poison"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/core/state/mirror"
	"cicadastand.dev/core/state/site"
)

const (
	// maxSends bounds the sends of a request that endpoints refuse unrun.
	maxSends = 4
	// maxCrashes is the number of endpoints that a request may take down.
	maxCrashes = 2
	// defaultMaxBody is used where the configuration sets no bound.
	defaultMaxBody = 4 << 20
	// routeRanks is how many ranks of routes are told apart within one of accounts.
	routeRanks = 3
	// maxRank is the least urgent rank that engines know.
	maxRank = 9
)

// job is one request of a client.
type job struct {
	r   *Relay
	w   http.ResponseWriter
	req *http.Request

	start time.Time
	ask   call.Request
	view  *mirror.View
	route *site.Route
	// account is nil on public routes.
	account     *site.Account
	service     *site.Service
	serviceName string
	body        []byte
	fingerprint poison.Fingerprint
	// due is when the client or the route gives up, patience when the client does.
	due      time.Time
	patience time.Time

	sends int
	// ran counts the sends after which the endpoint may have run the request.
	ran      int
	tried    map[string]bool
	endpoint string
	// chosen is the last choice of an endpoint.
	chosen choice
	// last is an answer that an endpoint gave and that is kept in case no better comes.
	last *answer
	// begun is set once a part of an answer is on its way to the client.
	begun     bool
	lastEvent int

	outcome   string
	reason    string
	firstByte time.Duration
}

func (r *Relay) newJob(w http.ResponseWriter, req *http.Request) *job {
	return &job{r: r, w: w, req: req, start: r.cfg.Clock.Now(), ask: r.cfg.Codec.Request(req.Header), tried: make(map[string]bool), outcome: "none"}
}

// admit checks what is known before the body, and reads the body.
func (j *job) admit() *rejection {
	r := j.r
	j.view = r.cfg.Board.View()
	config := j.view.Config
	if config == nil {
		return refuse(http.StatusServiceUnavailable, r.retryStale(), "no configuration yet")
	}
	route, ok := config.Match(j.req.Host, rawPath(j.req))
	if !ok {
		if !r.fresh() {
			return refuse(http.StatusServiceUnavailable, r.retryStale(), "configuration is too old")
		}
		return refuse(http.StatusNotFound, 0, "no route for this host and path")
	}
	j.route = route
	if fault := j.identify(); fault != nil {
		return fault
	}
	j.setDue()
	j.serviceName = r.pick(route, j.ask.ID)
	j.service = config.Services[j.serviceName]
	return j.readBody()
}

// rawPath returns the path as the client sent it: cleaning it could change the route.
func rawPath(req *http.Request) string {
	path, _, _ := strings.Cut(req.RequestURI, "?")
	return path
}

// fresh reports whether keys may be used.
func (r *Relay) fresh() bool {
	age, ok := r.cfg.Board.ConfigAge(r.cfg.Clock.Boot())
	return ok && age <= r.cfg.MaxConfigAge
}

// identify finds the account. A key counts only as long as it is proved to hold.
func (j *job) identify() *rejection {
	if !j.view.Config.NeedsKey(j.route) {
		return nil
	}
	if !j.r.fresh() {
		return refuse(http.StatusServiceUnavailable, j.r.retryStale(), "configuration is too old to accept keys")
	}
	account, ok := j.view.Config.Account(j.ask.Key)
	if !ok {
		return refuse(http.StatusUnauthorized, 0, "API key is not known")
	}
	j.account = account
	return nil
}

func (j *job) setDue() {
	j.due = j.start.Add(j.route.Timeout)
	j.patience = j.due
	if j.ask.Patience > 0 {
		j.patience = j.start.Add(j.ask.Patience)
		if j.patience.Before(j.due) {
			j.due = j.patience
		}
	}
}

func (j *job) readBody() *rejection {
	limit := j.view.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if j.req.ContentLength > limit {
		e := refuse(http.StatusRequestEntityTooLarge, 0, "body is larger than %d bytes", limit)
		e.close = true
		return e
	}
	if j.r.buffered.Load() > j.r.cfg.MaxBuffered {
		e := refuse(http.StatusServiceUnavailable, retryBusy, "no memory for the request body")
		e.close = true
		return e
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.req.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, 0, "body is larger than %d bytes", limit)
	case err != nil:
		return errBodySlow
	}
	j.body = body
	j.r.buffered.Add(int64(len(body)))
	j.fingerprint = j.print()
	return nil
}

// print identifies the content of the request for its caller.
func (j *job) print() poison.Fingerprint {
	name := ""
	if j.account != nil {
		name = j.account.Name
	}
	var fp poison.Fingerprint
	putHash(fp[:8], xxhash.Sum64String(name+" "+j.req.Method+" "+j.req.RequestURI))
	putHash(fp[8:], xxhash.Sum64(j.body))
	return fp
}

func putHash(to []byte, h uint64) {
	for i := range to {
		to[i] = byte(h >> (8 * i))
	}
}

// pick chooses among the services that share a route. Attempts of one id go to
// the same one.
func (r *Relay) pick(route *site.Route, id string) string {
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

// rank is the urgency of the request at an engine: by the account first, and by
// the route among requests of equal accounts.
func (j *job) rank() int {
	route := min(max(0, j.route.Rank), routeRanks-1)
	if j.account == nil || !j.account.HasRank {
		return route
	}
	return min(max(0, j.account.Rank)*routeRanks+route, maxRank)
}

// wall separates the cached prompt parts of isolated accounts.
func (j *job) wall() string {
	if j.account != nil && j.account.Isolated {
		return "account-" + j.account.Name
	}
	return ""
}

// run sends the request until it is answered or may not be sent again.
func (j *job) run() {
	j.r.cfg.Budget.RecordRequest(j.serviceName, j.r.cfg.Clock.Boot())
	ctx, cancel := clock.WithTimeout(j.req.Context(), j.r.cfg.Clock, j.due.Sub(j.r.cfg.Clock.Now()))
	defer cancel()
	for {
		again, fault := j.attempt(ctx)
		if fault == nil {
			return
		}
		if !again || ctx.Err() != nil || !j.mayRepeat() {
			j.giveUp(ctx, fault)
			return
		}
	}
}

// mayRepeat reports whether one more send is allowed.
func (j *job) mayRepeat() bool {
	return j.ran < j.route.MaxAttempts && j.sends < maxSends && j.r.cfg.Budget.TakeRetry(j.serviceName, j.r.cfg.Clock.Boot())
}

// giveUp ends a request that no endpoint has answered well.
func (j *job) giveUp(ctx context.Context, fault *rejection) {
	switch {
	case j.req.Context().Err() != nil:
		j.outcome, j.reason = "client-left", fault.reason
	case j.begun:
		// Ending the connection is the only sign left that the answer is not whole.
		j.outcome, j.reason = "broken-off", fault.reason
		panic(http.ErrAbortHandler)
	case j.last != nil:
		j.pass(j.last)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		j.reject(errTimeout)
	default:
		j.reject(fault)
	}
}

// finish logs what became of the request.
func (j *job) finish() {
	took := j.r.cfg.Clock.Now().Sub(j.start)
	j.r.latency.Update(took.Seconds())
	j.r.cfg.Metrics.GetOrCreateCounter(`cicada_relay_requests_total{outcome="` + j.outcome + `"}`).Inc()
	age, _ := j.r.cfg.Board.ConfigAge(j.r.cfg.Clock.Boot())
	args := []any{"id", j.ask.ID, "outcome", j.outcome, "ms", took.Milliseconds(), "sends", j.sends, "config-age-ms", age.Milliseconds()}
	if j.view != nil && j.view.Config != nil {
		args = append(args, "config", j.view.Config.Version)
	}
	if j.route != nil {
		args = append(args, "route", j.route.Name, "endpoint", j.endpoint)
	}
	if j.account != nil {
		args = append(args, "account", j.account.Name)
	}
	if j.isModel() && j.chosen.endpoint != nil {
		args = append(args, "rank", j.rank(), "tokens", j.chosen.read, "ahead", j.chosen.ahead, "waiting", math.Round(10*j.chosen.waiting)/10,
			"expect-ms", j.chosen.expect.Milliseconds(), "weights", j.chosen.weights, "shared", j.chosen.shared, "held", j.chosen.held, "source", j.chosen.sourceName, "save", j.chosen.store != nil)
	}
	if j.firstByte > 0 {
		args = append(args, "first-ms", j.firstByte.Milliseconds())
	}
	if j.reason != "" {
		args = append(args, "reason", j.reason)
	}
	j.r.cfg.Logger.Info("request", args...)
}
