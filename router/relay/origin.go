package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/samber/lo"

	"cicadastand.dev/core/coord/origin"
	"cicadastand.dev/core/state/site"
)

// isResumable reports whether the response is a stream that can be resumed.
func (j *job) isResumable() bool { return j.route.Kind == site.Stream && j.route.Resumable }

// streamID returns the ID of the client's request that brings, or brought, the first event
// of the stream; empty if the client does not name it.
func (j *job) streamID() string {
	if j.params.LastEvent > 0 {
		return j.params.Resumes
	}
	return j.params.ID
}

// findOrigin finds the build that began the stream that the client resumes.
func (j *job) findOrigin(ctx context.Context) *rejection {
	if j.params.LastEvent == 0 || !j.isResumable() || j.hasBuild {
		return nil
	}
	began, err := j.r.cfg.Origins.Find(ctx, j.serviceName, j.params.Resumes)
	if err != nil {
		retryAfter := j.r.retryAfterStale()
		var lost *origin.ErrLost
		if errors.As(err, &lost) {
			retryAfter = lost.Left
		}
		return newRejection(http.StatusServiceUnavailable, retryAfter, "the software version that began the stream is not known: %v", err)
	}
	j.build, j.hasBuild, j.originFrom = began.Build, true, began.From
	return nil
}

// recordOrigin records which endpoint sends the first event of the response. If that is the
// first event of the stream, the event must not be sent before.
func (j *job) recordOrigin(ctx context.Context, c choice) *rejection {
	if j.origin != nil {
		j.r.cfg.Logger.Info("stream resumed at another endpoint", "id", j.params.ID, "endpoint", c.endpoint.ID, "build", c.endpoint.Build,
			"began-endpoint", j.origin.ID, "began-build", j.origin.Build, "event", j.lastEvent)
		return nil
	}
	if j.isResumable() && j.params.LastEvent == 0 {
		if err := j.r.cfg.Origins.Record(ctx, j.serviceName, j.streamID(), c.endpoint.Build); err != nil {
			return newRejection(http.StatusBadGateway, 0, "the software version that begins the stream could not be recorded: %v", err)
		}
		j.recordedAt = j.r.cfg.Clock.Boot()
	}
	j.origin = c.endpoint
	j.build, j.hasBuild = c.endpoint.Build, true
	return nil
}

// renewOrigin repeats the record of a long stream before the store drops it.
func (j *job) renewOrigin() {
	if j.isResumable() {
		j.recordedAt = j.r.cfg.Origins.Renew(j.serviceName, j.streamID(), j.build, j.recordedAt)
	}
}

// withRequiredBuild returns the endpoints of a list that may send the next event: what two
// builds write does not fit together.
func (j *job) withRequiredBuild(list []*site.Endpoint) []*site.Endpoint {
	if !j.hasBuild {
		return list
	}
	return withBuild(list, j.build)
}

// withBuildToBegin leaves out endpoints at which a stream should not begin now, unless there
// are no others.
func (j *job) withBuildToBegin(list []*site.Endpoint) []*site.Endpoint {
	if j.hasBuild || !j.isResumable() {
		return list
	}
	builds, ok := j.r.cfg.Origins.BuildsToBegin(j.serviceName)
	if !ok {
		return list
	}
	only := lo.Filter(list, func(e *site.Endpoint, _ int) bool { return slices.Contains(builds, e.Build) })
	if len(only) > 0 {
		return only
	}
	return list
}

func withBuild(list []*site.Endpoint, build string) []*site.Endpoint {
	return lo.Filter(list, func(e *site.Endpoint, _ int) bool { return e.Build == build })
}
