package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/fetch"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/state/site"
)

// choice is the endpoint for one attempt.
type choice struct {
	endpoint *site.Endpoint
	// prefillTokens is the number of prompt tokens that the endpoint has to prefill.
	prefillTokens int
	// weights is the version that the endpoint is assumed to have loaded. valid is set
	// if a version is known and the endpoint has not rejected it.
	weights int
	valid   bool
	// replacedFor is how long a newer version has been known; 0 if there is none.
	replacedFor time.Duration
	// source is the address from which the endpoint fetches the shared prefix, or the
	// zero address. sourceName is the name of the source in logs.
	source     netip.AddrPort
	sourceName string
	// store is where the endpoint saves the KV cache of the prompt; nil if it does not.
	store *site.CacheStore
	// shared is the number of tokens of the shared prefix, cached the number of these
	// that the endpoint is known to have cached.
	shared int
	cached int
	// firstToken is the expected time to the first token.
	firstToken time.Duration
	// wait is the part of firstToken until the endpoint starts the prefill.
	wait time.Duration
	// inProgress is the number of requests at the endpoint, this one included.
	inProgress int
	// waiting is the average number of waiting requests per engine.
	waiting float64
	// tokensAhead is the number of queued prompt tokens ahead of this prompt.
	tokensAhead int
	// memory is the number of KV cache tokens that the request adds at the endpoint, lacking
	// how many of them the endpoint lacks.
	memory  int
	lacking int
	// prefillRate is the prefill throughput of the endpoint in tokens per second.
	prefillRate float64
	// isOwner is set if all hosts prefer the endpoint for the shared prefix.
	isOwner bool
	// permitted is set if a permit was taken from the endpoint's request limit.
	permitted bool
}

// choose selects an endpoint that was not tried yet. Paused and ejected endpoints are used
// only if there are no others, engines whose weights were replaced too long ago never.
func (j *job) choose(ctx context.Context) (choice, *rejection) {
	r := j.r
	view := r.cfg.Mirror.View()
	j.view = view
	all := view.ByService[j.serviceName]
	untried := lo.Filter(all, func(e *site.Endpoint, _ int) bool { return !j.tried[e.ID] })
	if j.hasBuild {
		if untried = j.withRequiredBuild(untried); len(untried) == 0 {
			fault := j.rejectBusy("no endpoint of %s with software version %q is left to resume the stream, %d are listed", j.serviceName, j.build, len(j.withRequiredBuild(all)))
			fault.retryAfter = max(fault.retryAfter, retryAfterNoEndpoint)
			return choice{}, fault
		}
	}
	if len(untried) == 0 {
		fault := j.rejectBusy("no endpoint of %s is left, %d are listed", j.serviceName, len(all))
		fault.retryAfter = max(fault.retryAfter, retryAfterNoEndpoint)
		return choice{}, fault
	}
	usable := untried
	if j.isModel() {
		if usable = r.permitted(untried, view, j.params.Model); len(usable) == 0 {
			return choice{}, r.rejectOldWeights("none of %d engines of %s has loaded weights that may still be used", len(untried), j.serviceName)
		}
	}
	usable = j.withBuildToBegin(usable)
	now := r.cfg.Clock.Boot()
	usable = lo.Filter(usable, func(e *site.Endpoint, _ int) bool { return r.cfg.Avoid.MaySend(e.ID, e.Started, now) })
	if len(usable) == 0 {
		return choice{}, j.rejectBusy("all usable endpoints of %s asked for a wait", j.serviceName)
	}
	if usable = j.withRoom(usable, now); len(usable) == 0 {
		r.noRoom.Inc()
		return choice{}, j.rejectBusy("the endpoints of %s are brittle and have no room", j.serviceName)
	}
	list := lo.Filter(usable, func(e *site.Endpoint, _ int) bool {
		return !r.cfg.Pauses.Paused(e.ID, now) && !r.cfg.Ejection.Ejected(e.ID, now)
	})
	if len(list) == 0 {
		list = usable
	}
	return j.chooseWithin(ctx, list, usable)
}

// chooseFrom selects one endpoint of a list.
func (j *job) chooseFrom(ctx context.Context, list []*site.Endpoint) choice {
	work := j.r.cfg.Loads.Total(j.r.cfg.Clock.Boot())
	if !j.isModel() {
		return j.chooseLeastLoaded(list, work)
	}
	return j.chooseEngine(ctx, list, work)
}

// tryEqualEvery is how many calls there are for each one that is placed as if all endpoints were
// equally fast. A slow endpoint would get none at low load, and its recovery would not show.
const tryEqualEvery = 32

func (j *job) chooseLeastLoaded(list []*site.Endpoint, work map[string]load.Work) choice {
	engines := make([]place.Engine, len(list))
	equal := rand.IntN(tryEqualEvery) == 0
	for i, e := range list {
		engines[i] = place.Engine{ID: e.ID, Slots: e.Slots, Work: work[e.ID], Remote: e.FailureDomain != j.r.cfg.FailureDomain}
		if !equal {
			learned := j.r.cfg.Speeds.Estimate(speedKey(e))
			engines[i].Speed, engines[i].Comfortable = learned.Relative, learned.Comfortable
		}
	}
	at := place.LeastLoaded(engines, int(j.r.roundRobin.Add(1)%uint64(len(list))), j.r.cfg.SampleSize())
	return choice{endpoint: list[at], inProgress: engines[at].Work.Requests() + 1}
}

// prompt returns the input of the placement.
func (j *job) prompt() place.Prompt {
	p := place.Prompt{Tokens: j.params.PromptTokens, OutputTokens: j.params.MaxTokens, Rank: j.rank()}
	for _, part := range j.params.Shared() {
		p.SharedTokens += part.Tokens
		p.Key = part.ID
	}
	if n := len(j.params.Parts); n > 0 && p.Tokens == 0 {
		p.Tokens = p.SharedTokens + j.params.Parts[n-1].Tokens
	}
	p.Tokens = max(p.Tokens, p.SharedTokens)
	if p.Key == "" {
		// The prompt has no shared prefix, so the request ID decides the placement.
		p.Key = j.params.ID
	}
	if p.SharedTokens > 0 {
		p.TransferRate = j.service.Engine.TransferRate
	}
	return p
}

// chooseEngine selects the engine for a generation.
func (j *job) chooseEngine(ctx context.Context, list []*site.Endpoint, work map[string]load.Work) choice {
	since := j.r.cfg.Clock.Boot() - engineCacheLifetime
	newest := j.view.NewestWeights(j.params.Model)
	prompt := j.prompt()
	prompt.Holds = j.waitsForRoom(prompt.Tokens + prompt.OutputTokens)
	engines := make([]place.Engine, len(list))
	loaded := make([]engineWeights, len(list))
	waiting := 0.0
	for i, e := range list {
		waiting += float64(work[e.ID].Waiting) / float64(len(list))
		loaded[i] = j.r.weightsOf(e, j.params.Model)
		engines[i] = place.Engine{
			ID:           e.ID,
			Slots:        e.Slots,
			PrefillRate:  j.r.cfg.Speeds.PrefillRate(j.serviceName, speedKey(e)),
			Work:         work[e.ID],
			Capacity:     j.service.Engine.CacheTokens,
			Comfortable:  j.r.cfg.Speeds.Estimate(speedKey(e)).Comfortable,
			CachedTokens: j.r.cfg.CacheIndex.CachedTokens(e.ID, loaded[i].version, j.cacheSalt(), j.params.Shared(), since),
			CanFetch:     loaded[i].valid,
			OldWeights:   loaded[i].version < newest,
			Remote:       e.FailureDomain != j.r.cfg.FailureDomain,
		}
		prompt.FetchableTokens = max(prompt.FetchableTokens, engines[i].CachedTokens)
	}
	if j.isStored(fetch.StoreFor(prompt.Key, j.view.Config.CacheStores), newest, prompt.SharedTokens) {
		prompt.FetchableTokens = prompt.SharedTokens
	}
	c := j.place(ctx, prompt, engines)
	out := choice{
		endpoint:      list[c.Index],
		prefillTokens: max(0, prompt.Tokens-c.ReusableTokens),
		weights:       loaded[c.Index].version,
		valid:         loaded[c.Index].valid,
		shared:        prompt.SharedTokens,
		cached:        engines[c.Index].CachedTokens,
		firstToken:    c.FirstToken,
		wait:          c.Wait,
		inProgress:    engines[c.Index].Work.Requests() + 1,
		waiting:       waiting,
		tokensAhead:   c.TokensAhead,
		memory:        c.Memory,
		lacking:       c.Lacking,
		prefillRate:   engines[c.Index].PrefillRate,
		isOwner:       c.IsOwner,
	}
	if at, replaced := j.view.ReplacedAt(j.params.Model, out.weights); replaced {
		out.replacedFor = j.r.cfg.Clock.Boot() - at
	}
	if out.valid {
		j.setFetchSource(&out, prompt, c, engines, list, loaded)
	}
	return out
}

// place asks the placer for an engine, and chooses one itself if the placer can't.
func (j *job) place(ctx context.Context, p place.Prompt, engines []place.Engine) place.Choice {
	q := place.NewQuery(p, engines)
	if d, ok := j.r.cfg.Placer.Place(ctx, q); ok {
		return place.ChoiceFrom(p, engines, q, d)
	}
	return place.Choose(p, engines, j.r.cfg.SampleSize())
}
