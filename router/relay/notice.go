package relay

import (
	"net/http"
	"time"

	"github.com/samber/lo"

	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/site"
	"cicadastand.dev/router/conns"
)

// recordNotice records what a response to a request sent at asked says of its endpoint.
// Responses that may come from another process at that address say nothing.
func (j *job) recordNotice(e *site.Endpoint, resp *conns.Response, decoded call.Response, asked time.Duration) {
	if resp.Status == http.StatusMisdirectedRequest || !decoded.Sealed && !decoded.NotRun {
		return
	}
	r := j.r
	for _, fault := range decoded.Notice.Faults {
		r.cfg.Logger.Warn("ignored invalid header of endpoint's response", "id", j.params.ID, "endpoint", e.ID, "error", fault)
	}
	if decoded.Notice.Leaving && r.cfg.Mirror.MarkLeaving(e.ID, e.Started) {
		r.cfg.Logger.Info("endpoint said that it is leaving", "id", j.params.ID, "endpoint", e.ID)
	}
	if wait := decoded.Notice.Wait; wait > 0 {
		now := r.cfg.Clock.Boot()
		until := r.cfg.Avoid.Record(e.ID, e.Started, now, wait)
		r.cfg.Logger.Info("endpoint asked for a wait", "id", j.params.ID, "endpoint", e.ID, "wait-ms", wait.Milliseconds(), "until-ms", (until - now).Milliseconds())
	}
	j.recordRequestLimit(e.ID, decoded, asked)
	j.recordBrittle(e.ID, decoded, asked)
}

// recordBrittle records whether the endpoint is brittle, and what it makes of the request.
func (j *job) recordBrittle(endpoint string, decoded call.Response, asked time.Duration) {
	r := j.r
	now := r.cfg.Clock.Boot()
	n := decoded.Notice
	switch {
	case n.Brittle:
		if c, ok := r.cfg.Room.Name(endpoint, n.MaxRejections, asked, now); ok {
			r.cfg.Logger.Info("endpoint said that it is brittle", "id", j.params.ID, "endpoint", endpoint, "max-rejections", c.MaxRejections)
		}
	case len(n.Faults) == 0:
		if c, ok := r.cfg.Room.Lift(endpoint, asked); ok {
			r.cfg.Logger.Info("endpoint is no longer brittle", "id", j.params.ID, "endpoint", endpoint, "rejections", c.Rejections, "brittle-ms", (now - c.Since).Milliseconds())
		}
	}
	if r.cfg.Room.IsEmpty() {
		return
	}
	if decoded.NotRun {
		waiting := r.cfg.Loads.AtEndpoints([]string{endpoint}, now)[0].Waiting
		r.cfg.Room.RecordRejection(endpoint, waiting, now)
		return
	}
	r.cfg.Room.RecordServed(endpoint)
}

// withRoom returns the endpoints of a list that may get another request: all but the brittle
// ones at which too many wait.
func (j *job) withRoom(list []*site.Endpoint, now time.Duration) []*site.Endpoint {
	r := j.r
	if r.cfg.Room.IsEmpty() {
		return list
	}
	ids := lo.Map(list, func(e *site.Endpoint, _ int) string { return e.ID })
	work, own, share := r.cfg.Loads.AtEndpoints(ids, now), r.cfg.Loads.Own(now), j.demandShare(now)
	return lo.Filter(list, func(e *site.Endpoint, i int) bool {
		return r.cfg.Room.MaySend(e.ID, work[i].Waiting, own[e.ID].Waiting, share, now)
	})
}

func (j *job) recordRequestLimit(endpoint string, decoded call.Response, asked time.Duration) {
	r := j.r
	now := r.cfg.Clock.Boot()
	n := decoded.Notice
	switch {
	case n.HasRequestLimit:
		if c, ok := r.cfg.Pace.Name(endpoint, n.RequestLimit, asked, now); ok {
			r.cfg.Logger.Info("endpoint named a request limit", "id", j.params.ID, "endpoint", endpoint, "per-second", c.Rate, "limited-ms", (now - c.Since).Milliseconds())
		}
	case decoded.Sealed && len(n.Faults) == 0:
		if c, ok := r.cfg.Pace.Lift(endpoint, asked); ok {
			r.cfg.Logger.Info("endpoint named no request limit, limit ended", "id", j.params.ID, "endpoint", endpoint, "limited-ms", (now - c.Since).Milliseconds())
		}
	}
}
