package relay

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// rejection is an error response that the router sends itself.
type rejection struct {
	status int
	// reason appears in the response and in the log.
	reason string
	// retryAfter is the time after which the client may retry; 0 if it is not known.
	retryAfter time.Duration
	// close is set if the connection can't be reused, since the request body was not
	// read to its end.
	close bool
}

// Error implements error.
func (e *rejection) Error() string { return e.reason }

func newRejection(status int, retryAfter time.Duration, format string, args ...any) *rejection {
	return &rejection{status: status, reason: fmt.Sprintf(format, args...), retryAfter: retryAfter}
}

// rejectOldWeights returns the rejection of a request that would start on weights past the
// bound.
func (r *Relay) rejectOldWeights(format string, args ...any) *rejection {
	r.oldWeights.Inc()
	return newRejection(http.StatusServiceUnavailable, retryAfterOldWeights, format, args...)
}

// rejectBusy returns the rejection of a request that endpoints did not take. The client is
// told to come back when one may: at the earliest when the first wait ends, if all endpoints
// of the service asked for one.
func (j *job) rejectBusy(format string, args ...any) *rejection {
	now := j.r.cfg.Clock.Boot()
	all := j.r.cfg.Mirror.View().ByService[j.serviceName]
	left := retryAfterBusy
	for i, e := range all {
		wait := j.r.cfg.Avoid.Left(e.ID, e.Started, now)
		if i == 0 || wait < left {
			left = wait
		}
	}
	return newRejection(http.StatusServiceUnavailable, max(left, retryAfterBusy), format, args...)
}

// reject writes an error response for a request that was not forwarded or failed. A status that
// clients take as proof that the request has not run is replaced if it may have.
func (j *job) reject(e *rejection) {
	if saysNotRun(e.status) && j.mayHaveRun() {
		e = &rejection{status: http.StatusBadGateway, reason: "an endpoint may have run the request; " + e.reason, close: e.close}
	}
	j.outcome = strconv.Itoa(e.status)
	j.reason = e.reason
	h := j.w.Header()
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(e.retryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	if e.close {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "application/json")
	j.w.WriteHeader(e.status)
	if _, err := fmt.Fprintf(j.w, "{\"error\":%q}\n", e.reason); err != nil {
		j.reason += "; writing the response to the client failed: " + err.Error()
	}
}

// The Retry-After times if there is no better estimate.
const (
	// retryAfterOutage is about the time until the configuration is read after the
	// platform's store is reachable again.
	retryAfterOutage = time.Second
	// retryAfterPartition is short, since a retry is expected to reach another host,
	// which is not partitioned.
	retryAfterPartition = 50 * time.Millisecond
	// retryAfterNoEndpoint is about the interval at which endpoints renew their entries.
	retryAfterNoEndpoint = time.Second
	// retryAfterOldWeights is about the time in which some engines load new weights.
	retryAfterOldWeights = 500 * time.Millisecond
	// retryAfterBusy is about the time in which an engine prefills a few prompts.
	retryAfterBusy = 300 * time.Millisecond
)

// retryAfterStale returns the retry time for a host whose configuration is too old.
func (r *Relay) retryAfterStale() time.Duration {
	if r.cfg.IsPartitioned() {
		return retryAfterPartition
	}
	return retryAfterOutage
}

var (
	errEnding         = errors.New("the host is stopping")
	errTimeout        = &rejection{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	errBodyIncomplete = &rejection{status: http.StatusBadRequest, reason: "request body did not arrive", close: true}
)
