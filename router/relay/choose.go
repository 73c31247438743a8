package relay

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"cicadastand.dev/core/coord/fetch"
	"cicadastand.dev/core/coord/load"
	"cicadastand.dev/core/coord/place"
	"cicadastand.dev/core/state/site"
)

// choice is the endpoint for one send.
type choice struct {
	endpoint *site.Endpoint
	// read is how many tokens of the prompt it has to read.
	prefillTokens int
	// weights is the version that the endpoint is believed to have, and firm set if
	// nothing speaks against it.
	weights int
	valid   bool
	// source is where the endpoint fetches the shared part from; the zero address
	// for nowhere. sourceName is that of the source in logs.
	source     netip.AddrPort
	sourceName string
	// store is where the endpoint sends what it reads; nil for nowhere.
	store *site.CacheStore
	// shared is how many tokens of the prompt others have in common with it, held
	// how many of these the endpoint is known to hold.
	shared int
	cached int
	// expect is the time to the first token.
	firstToken time.Duration
	// wait is the part of it until the endpoint begins with the prompt.
	wait time.Duration
	// waiting is how many requests wait for each engine, on average.
	waiting float64
	// ahead is how many tokens are read before the prompt.
	tokensAhead int
	// home is set if all hosts would choose the endpoint for the shared part.
	isOwner bool
}

// choose places the request.
func (j *job) choose(ctx context.Context) (choice, *rejection) {
	r := j.r
	view := r.cfg.Mirror.View()
	j.view = view
	all := view.ByService[j.serviceName]
	var list []*site.Endpoint
	now := r.cfg.Clock.Boot()
	for _, e := range all {
		if !j.tried[e.ID] && !r.cfg.Pauses.Paused(e.ID, now) && !r.cfg.Ejection.Ejected(e.ID, now) {
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
		return choice{}, newRejection(http.StatusServiceUnavailable, retryAfterNoEndpoint, "no endpoint of %s is left, %d are listed", j.serviceName, len(all))
	}
	work := r.cfg.Loads.Total(now)
	if !j.isModel() {
		return j.chooseLeastLoaded(list, work), nil
	}
	return j.chooseEngine(ctx, r.withCurrentWeights(list, view, j.params.Model), work), nil
}

func (j *job) chooseLeastLoaded(list []*site.Endpoint, work map[string]load.Work) choice {
	engines := make([]place.Engine, len(list))
	for i, e := range list {
		engines[i] = place.Engine{ID: e.ID, Slots: e.Slots, Work: work[e.ID], Remote: e.FailureDomain != j.r.cfg.FailureDomain}
	}
	at := place.LeastLoaded(engines, int(j.r.roundRobin.Add(1)%uint64(len(list))), j.r.cfg.SampleSize())
	return choice{endpoint: list[at]}
}

// prompt is what a placement goes by.
func (j *job) prompt() place.Prompt {
	p := place.Prompt{Tokens: j.params.PromptTokens, Rank: j.rank()}
	for _, part := range j.params.Shared() {
		p.SharedTokens += part.Tokens
		p.Key = part.ID
	}
	if n := len(j.params.Parts); n > 0 && p.Tokens == 0 {
		p.Tokens = p.SharedTokens + j.params.Parts[n-1].Tokens
	}
	p.Tokens = max(p.Tokens, p.SharedTokens)
	if p.Key == "" {
		// Nothing is shared: the request is spread by its own id.
		p.Key = j.params.ID
	}
	if p.SharedTokens > 0 {
		p.TransferRate = j.service.Engine.TransferRate
	}
	return p
}

// choosePrompt places a generation.
func (j *job) chooseEngine(ctx context.Context, list []*site.Endpoint, work map[string]load.Work) choice {
	since := j.r.cfg.Clock.Boot() - engineCacheLifetime
	newest := j.view.NewestWeights(j.params.Model)
	prompt := j.prompt()
	engines := make([]place.Engine, len(list))
	loaded := make([]engineWeights, len(list))
	waiting := 0.0
	for i, e := range list {
		waiting += float64(work[e.ID].Waiting) / float64(len(list))
		loaded[i] = j.r.weightsOf(e, j.params.Model)
		engines[i] = place.Engine{
			ID:           e.ID,
			Slots:        e.Slots,
			PrefillRate:  j.r.prefill.rate(e.ID),
			Work:         work[e.ID],
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
		waiting:       waiting,
		tokensAhead:   c.TokensAhead,
		isOwner:       c.IsOwner,
	}
	if out.valid {
		j.setFetchSource(&out, prompt, c, engines, list, loaded)
	}
	return out
}

// place chooses among engines, by the arbiter's knowledge where there is one.
func (j *job) place(ctx context.Context, p place.Prompt, engines []place.Engine) place.Choice {
	q := place.NewQuery(p, engines)
	if a, ok := j.r.cfg.Placer.Place(ctx, q); ok {
		return place.ChoiceFrom(p, engines, q, a)
	}
	return place.Choose(p, engines, j.r.cfg.SampleSize())
}
