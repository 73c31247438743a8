package relay

import (
	"net/http"
	"time"

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
