package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cicadastand.dev/core/coord/quota"
	"cicadastand.dev/core/proto/call"
	"cicadastand.dev/core/state/site"
)

// fakeQuota decides alike on all requests and records them.
type fakeQuota struct {
	decision quota.Decision
	charged  []float64
	returned []float64
}

func (q *fakeQuota) Spend(_ context.Context, _ string, _ site.Limit, units float64) quota.Decision {
	q.charged = append(q.charged, units)
	return q.decision
}

func (q *fakeQuota) ReturnUnits(_ string, _ quota.Decision, units float64) {
	q.returned = append(q.returned, units)
}

// newCharged returns a request of an account with a limit, and what decides on it.
func newCharged(action quota.Action, peer otherHost) (*job, *fakeQuota) {
	j, _ := newForwarded(peer)
	q := &fakeQuota{decision: quota.Decision{Action: action, Wait: 10 * time.Second}}
	j.r.cfg.Quota = q
	j.account = &site.Account{Name: "a", Limit: site.Limit{Rate: 1, Unit: site.UnitTokens, UncachedTokens: 7}}
	j.params = call.Request{ID: "r", PromptTokens: 100, MaxTokens: 20, Timeout: 900 * time.Millisecond}
	j.clientDeadline = j.r.cfg.Clock.Now().Add(j.params.Timeout)
	return j, q
}

// Clients ignore a Retry-After above a third of their time, and then come back at once.
func TestRejectedRequestIsToldAShortWait(t *testing.T) {
	is := is.New(t)
	j, q := newCharged(quota.Reject, otherHost{})
	fault := j.charge()
	is.Equal(fault.status, http.StatusTooManyRequests)
	is.Equal(fault.retryAfter, 300*time.Millisecond)
	j.params.Timeout = 0
	fault = j.charge()
	is.True(fault.retryAfter >= 10*time.Second && fault.retryAfter <= 15*time.Second)
	j.returnUnits()
	is.Equal(len(q.returned), 0) // nothing was charged
	is.Equal(q.charged, []float64{120, 120})
}

// A forwarded request was charged by the host that received it, and accounts without a limit cost
// nothing.
func TestRequestsThatAreNotCharged(t *testing.T) {
	is := is.New(t)
	j, q := newCharged(quota.Reject, otherHost{})
	j.forwardedBy = "other"
	is.True(j.charge() == nil)
	j.forwardedBy, j.account.Limit.Rate = "", 0
	is.True(j.charge() == nil)
	j.account = nil
	is.True(j.charge() == nil)
	is.Equal(len(q.charged), 0)
}

// Units are returned if no endpoint may have run the request, here or for another host.
func TestUnitsOfRequestsThatHaveNotRunAreReturned(t *testing.T) {
	is := is.New(t)
	ends := func(peer otherHost, serve func(*job)) int {
		j, q := newCharged(quota.Admit, peer)
		j.params.PromptTokens, j.params.MaxTokens = 0, 0
		is.True(j.charge() == nil)
		serve(j)
		j.returnUnits()
		is.Equal(q.charged, []float64{7}) // stated no usage
		return len(q.returned)
	}
	forward := func(j *job) { _, _ = j.forward(context.Background()) }
	is.Equal(ends(otherHost{}, func(*job) {}), 1)
	is.Equal(ends(otherHost{}, func(j *job) { j.attempts++ }), 0)
	is.Equal(ends(otherHost{status: http.StatusServiceUnavailable, body: strings.NewReader("")}, forward), 1)
	is.Equal(ends(otherHost{status: http.StatusOK, body: brokenStream()}, forward), 0)
}
