package relay

import (
	"time"

	"cicadastand.dev/core/coord/speed"
	"cicadastand.dev/core/state/site"
)

// speedKey returns the key of an endpoint's learned capacity.
func speedKey(e *site.Endpoint) speed.Incarnation {
	return speed.Incarnation{Endpoint: e.ID, StartedMs: e.Started.UnixMilli()}
}

// observeSpeed records the time from sending a request until the first event of its stream or,
// for other responses, until the header.
func (j *job) observeSpeed(c choice, sent time.Time) {
	o := speed.Sample{
		Service:    j.serviceName,
		Endpoint:   speed.Endpoint{Incarnation: speedKey(c.endpoint), Slots: c.endpoint.Slots},
		InProgress: c.inProgress,
		Took:       j.r.cfg.Clock.Now().Sub(sent),
	}
	now := j.r.cfg.Clock.Boot()
	if !j.isModel() {
		j.r.cfg.Speeds.ObserveCall(o, now)
		return
	}
	// The time of a fetch says nothing of the endpoint.
	j.r.cfg.Speeds.ObservePrefill(o, c.tokensAhead+c.prefillTokens, !c.source.IsValid(), now)
}
