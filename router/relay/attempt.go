package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"cicadastand.dev/core/coord/early"
	"cicadastand.dev/core/coord/fetch"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/kept"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/router/hop"
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

// choice is the endpoint for one send.
type choice struct {
	endpoint *site.Endpoint
	// read is how many tokens of the prompt it has to read.
	read int
	// weights is the version that the endpoint is believed to have, and firm set if
	// nothing speaks against it.
	weights int
	firm    bool
	// source is where the endpoint fetches the shared part from, and store where it
	// sends what it reads; nil for nowhere.
	source netip.AddrPort
	// sourceName is that of the source in logs.
	sourceName string
	// shared is how many tokens of the prompt others have in common with it, held
	// how many of these the endpoint is known to hold.
	shared int
	held   int
	store  *site.CacheStore
	// expect is the time to the first token.
	expect time.Duration
	// wait is the part of it until the endpoint begins with the prompt.
	wait time.Duration
	// waiting is how many requests wait for each engine, on average.
	waiting float64
	// ahead is how many tokens are read before the prompt.
	ahead int
	// home is set if all hosts would choose the endpoint for the shared part.
	home bool
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
		if ok, wait := early.Decide(j.demand(c)); !ok {
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
	ticket := r.cfg.Loads.Begin(c.endpoint.ID, j.rank(), c.read)
	defer ticket.End()
	sent := r.cfg.Clock.Now()
	reply, err := r.cfg.Hop.Send(ctx, hop.Target{Incarnation: c.endpoint.ID, Address: c.endpoint.Address}, j.message(c, left), j.isOwn)
	if err != nil {
		return j.sendFailed(ctx, c, err)
	}
	defer reply.Close()
	return j.receive(ctx, c, reply, ticket, sent)
}

// demand is what the decision to refuse early goes by.
func (j *job) demand(c choice) early.Demand {
	now := j.r.cfg.Clock.Now()
	return early.Demand{
		Waiting:  c.waiting,
		Expected: c.expect,
		Wait:     c.wait,
		Spent:    now.Sub(j.start),
		Target:   j.route.TargetLatency,
		Left:     j.due.Sub(now),
		Begun:    j.begun,
		Spread:   float64(j.fingerprint[0]) / 256,
	}
}

func (j *job) isOwn(h http.Header, id string) bool {
	got := j.r.cfg.Codec.Answer(h).ID
	return got == id || got == ""
}

func (j *job) message(c choice, left time.Duration) hop.Message {
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
	return hop.Message{
		ID:     j.ask.ID,
		Method: j.req.Method,
		URI:    j.req.RequestURI,
		Host:   j.req.Host,
		Header: j.r.cfg.Codec.Forward(j.req.Header, send),
		Body:   j.body,
		Once:   !j.route.MayRepeat(),
	}
}

// setCache lets the engine fetch what it lacks and keep what it reads. Engines
// check neither version nor account of a cached part: so the salt names both, and
// a request with a version in its salt runs on no other.
func (j *job) setCache(send *call.Send, c choice) {
	if !c.firm {
		return
	}
	send.Wall = j.wall() + "/v" + strconv.Itoa(c.weights)
	send.Weights, send.FetchFrom = c.weights, c.source
	if c.store != nil {
		send.SaveTo = c.store.Address
	}
}

// isModel reports whether the request is a generation.
func (j *job) isModel() bool { return j.service != nil && j.service.Engine != nil }

// sendFailed decides after a send that got no answer.
func (j *job) sendFailed(ctx context.Context, c choice, err error) (again bool, fault *rejection) {
	if ctx.Err() == nil {
		j.shun(c, err)
	}
	if hop.IsErrUnsent(err) {
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
	if j.r.cfg.Shun.Failed(c.endpoint.ID, j.r.cfg.Clock.Boot()) {
		j.r.cfg.Logger.Warn("endpoint shunned", "id", j.ask.ID, "endpoint", c.endpoint.ID, "error", err)
	}
}

// broken notes that an endpoint broke off while it may have run the request.
func (j *job) broken(reason string) (again bool, fault *rejection) {
	j.r.cfg.Poison.Crashed(j.fingerprint, j.r.cfg.Clock.Now())
	return j.route.MayRepeat(), refuse(http.StatusBadGateway, 0, "%s", reason)
}

// choose places the request.
func (j *job) choose(ctx context.Context) (choice, *rejection) {
	r := j.r
	view := r.cfg.Board.View()
	j.view = view
	all := view.ByService[j.serviceName]
	var list []*site.Endpoint
	now := r.cfg.Clock.Boot()
	for _, e := range all {
		if !j.tried[e.ID] && !r.cfg.Pauses.Paused(e.ID, now) && !r.cfg.Shun.Shunned(e.ID, now) {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		for _, e := range all {
			if !j.tried[e.ID] {
				list = append(list, e)
			}
		}
	}
	if len(list) == 0 {
		return choice{}, refuse(http.StatusServiceUnavailable, retryNoEndpoint, "no endpoint of %s is left, %d are listed", j.serviceName, len(all))
	}
	work := r.cfg.Loads.At(now)
	if !j.isModel() {
		return j.chooseLeast(list, work), nil
	}
	return j.choosePrompt(ctx, r.current(list, view, j.ask.Model), work), nil
}

func (j *job) chooseLeast(list []*site.Endpoint, work map[string]load.Work) choice {
	engines := make([]place.Engine, len(list))
	for i, e := range list {
		engines[i] = place.Engine{ID: e.ID, Slots: e.Slots, Work: work[e.ID], Remote: e.FailureDomain != j.r.cfg.FailureDomain}
	}
	at := place.LeastLoaded(engines, int(j.r.turn.Add(1)%uint64(len(list))), j.r.cfg.Look())
	return choice{endpoint: list[at]}
}

func (j *job) choosePrompt(ctx context.Context, list []*site.Endpoint, work map[string]load.Work) choice {
	now := j.r.cfg.Clock.Boot()
	shared := j.ask.Shared()
	prompt := place.Prompt{Tokens: j.ask.PromptTokens, Rank: j.rank()}
	for _, p := range shared {
		prompt.Shared += p.Tokens
		prompt.Key = p.ID
	}
	if n := len(j.ask.Parts); n > 0 && prompt.Tokens == 0 {
		prompt.Tokens = prompt.Shared + j.ask.Parts[n-1].Tokens
	}
	prompt.Tokens = max(prompt.Tokens, prompt.Shared)
	if prompt.Key == "" {
		// Nothing is shared: the request is spread by its own id.
		prompt.Key = j.ask.ID
	}
	if prompt.Shared > 0 {
		prompt.TransferRate = j.service.Engine.TransferRate
	}
	engines := make([]place.Engine, len(list))
	known := make([]belief, len(list))
	waiting := 0.0
	for i, e := range list {
		waiting += float64(work[e.ID].Waiting) / float64(len(list))
		known[i] = j.r.belief(e, j.ask.Model)
		engines[i] = place.Engine{
			ID:      e.ID,
			Slots:   e.Slots,
			Rate:    j.r.speed.rate(e.ID),
			Work:    work[e.ID],
			Held:    j.r.cfg.Kept.Held(e.ID, known[i].version, j.wall(), shared, now-engineMemory),
			Fetches: known[i].firm,
			Old:     known[i].version < j.view.Newest(j.ask.Model),
			Remote:  e.FailureDomain != j.r.cfg.FailureDomain,
		}
	}
	newest := j.view.Newest(j.ask.Model)
	for _, e := range engines {
		prompt.Fetchable = max(prompt.Fetchable, e.Held)
	}
	if j.isStored(fetch.Store(prompt.Key, j.view.Config.CacheStores), newest, prompt.Shared) {
		prompt.Fetchable = prompt.Shared
	}
	c := j.place(ctx, prompt, engines)
	k := known[c.Index]
	out := choice{endpoint: list[c.Index], read: max(0, prompt.Tokens-c.Has), weights: k.version, firm: k.firm, expect: c.FirstToken, wait: c.Wait, waiting: waiting, ahead: c.Ahead, home: c.Home}
	out.shared, out.held = prompt.Shared, engines[c.Index].Held
	if k.firm {
		j.setSource(&out, prompt, c, engines, list, known)
	}
	return out
}

// place chooses among engines, by the arbiter's knowledge where there is one.
func (j *job) place(ctx context.Context, p place.Prompt, engines []place.Engine) place.Choice {
	q := place.Ask(p, engines)
	if a, ok := j.r.cfg.Arbiter.Place(ctx, q); ok {
		return place.Result(p, engines, q, a)
	}
	return place.Choose(p, engines, j.r.cfg.Look())
}

const (
	// engineMemory is how long an engine is taken to hold a part: on a large site
	// under load, the prompts of two to three seconds fill an engine's cache.
	engineMemory = 2500 * time.Millisecond
	// storeMemory is how long a store is taken to hold a part. It may have restarted
	// since, and what is read again within ten seconds is priced.
	storeMemory = 10 * time.Second
)

// isStored reports whether a store is known to hold the shared part.
func (j *job) isStored(store *site.CacheStore, weights, shared int) bool {
	since := j.r.cfg.Clock.Boot() - storeMemory
	return store != nil && j.r.cfg.Kept.Held(store.Address.String(), weights, j.wall(), j.ask.Shared(), since) >= shared
}

// setSource decides from where the shared part is fetched and where it is kept.
func (j *job) setSource(out *choice, p place.Prompt, c place.Choice, engines []place.Engine, list []*site.Endpoint, known []belief) {
	if p.Shared == 0 || p.TransferRate <= 0 {
		return
	}
	store := fetch.Store(p.Key, j.view.Config.CacheStores)
	n := fetch.Need{
		Shared:   p.Shared,
		Own:      p.Tokens - p.Shared,
		Target:   c.Index,
		Owner:    c.Owner,
		HasStore: store != nil,
		Stored:   j.isStored(store, out.weights, p.Shared),
		Newest:   !engines[c.Index].Old,
	}
	for i, e := range engines {
		n.Engines = append(n.Engines, fetch.Engine{
			FailureDomain: list[i].FailureDomain,
			Held:          e.Held,
			Usable:        known[i].firm && known[i].version == out.weights,
		})
	}
	d := fetch.Decide(n)
	switch {
	case d.From == fetch.FromStore:
		out.source, out.sourceName = store.Address, "store"
	case d.From >= 0:
		out.source, out.sourceName = list[d.From].Address, list[d.From].ID
	}
	if d.Save {
		out.store = store
	}
}

// placed notes that the endpoint will hold the shared part of the prompt. Other
// hosts are told if they would look for it elsewhere.
func (j *job) placed(c choice, weights int) {
	if !j.isModel() {
		return
	}
	p := j.placement(c.endpoint.ID, weights, j.service.Engine.CacheTokens)
	j.r.cfg.Kept.Add(p)
	if !c.home {
		j.r.cfg.News.Announce(p, func(string) bool { return true })
	}
}

// stored notes that a store holds the shared part of the prompt, and tells others.
func (j *job) stored(c choice) {
	if c.store == nil {
		return
	}
	p := j.placement(c.store.Address.String(), c.weights, c.store.CacheTokens)
	j.r.cfg.Kept.Add(p)
	j.r.cfg.News.Announce(p, func(string) bool { return true })
}

// placement says that an endpoint or a store holds the shared part of the prompt.
func (j *job) placement(holder string, weights, capacity int) kept.Placement {
	return kept.Placement{
		Endpoint: holder,
		Weights:  weights,
		Wall:     j.wall(),
		Parts:    j.ask.Shared(),
		Capacity: capacity,
		At:       j.r.cfg.Clock.Boot(),
	}
}

// receive takes the endpoint's answer.
func (j *job) receive(ctx context.Context, c choice, reply *hop.Reply, ticket *load.Ticket, sent time.Time) (again bool, fault *rejection) {
	r := j.r
	a := r.cfg.Codec.Answer(reply.Header)
	if a.NotRun || reply.Status == http.StatusMisdirectedRequest {
		j.drain(reply)
		if reply.Status == http.StatusMisdirectedRequest && c.firm {
			r.weights.refuted(c.endpoint.ID, c.weights)
		}
		j.ran--
		r.cfg.Shun.Refused(c.endpoint.ID, r.cfg.Clock.Boot(), refusedPause)
		return true, refuse(http.StatusServiceUnavailable, retryBusy, "endpoint %s did not run the request: status %d", c.endpoint.ID, reply.Status)
	}
	if j.r.cfg.Shun.Succeeded(c.endpoint.ID) {
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
		j.r.cfg.Poison.Completed(j.fingerprint)
	}
	j.pass(whole)
	return false, nil
}

// drain reads what is left of a short answer so that its channel can be kept.
func (j *job) drain(reply *hop.Reply) {
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
