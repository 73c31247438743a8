package relay

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// rejection is an answer that the router gives itself.
type rejection struct {
	status int
	// reason stands in the answer and in the log.
	reason string
	// retryAfter is when the client may come back; 0 if that is not known.
	retryAfter time.Duration
	// close ends the connection: the request's body was not read to its end.
	close bool
}

// Error gives the reason.
func (e *rejection) Error() string { return e.reason }

func newRejection(status int, retryAfter time.Duration, format string, args ...any) *rejection {
	return &rejection{status: status, reason: fmt.Sprintf(format, args...), retryAfter: retryAfter}
}

// reject answers a request that was not passed on or did not succeed.
func (j *job) reject(e *rejection) {
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
		j.reason += "; the client did not take the answer: " + err.Error()
	}
}

// The waits that are told to clients when no better figure is known.
const (
	// retryAfterOutage is about one read of the configuration after the store's return.
	retryAfterOutage = time.Second
	// retryAfterPartition is for a host that is cut off: the next attempt meets another one.
	retryAfterPartition = 50 * time.Millisecond
	// retryAfterNoEndpoint is about one renewal of the endpoints' entries.
	retryAfterNoEndpoint = time.Second
	// retryAfterBusy is the time in which an engine reads a few prompts.
	retryAfterBusy = 300 * time.Millisecond
)

// retryAfterStale is when to come back to a host whose configuration is too old.
func (r *Relay) retryAfterStale() time.Duration {
	if r.cfg.IsPartitioned() {
		return retryAfterPartition
	}
	return retryAfterOutage
}

var (
	errTimeout        = &rejection{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	errBodyIncomplete = &rejection{status: http.StatusBadRequest, reason: "request body did not arrive", close: true}
)
