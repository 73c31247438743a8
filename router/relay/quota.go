package relay

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadastand.dev/core/coord/quota"
)

const (
	// minQuotaSpread spreads the retries of an account that is admitted again within
	// milliseconds, so that its clients don't come back in one burst.
	minQuotaSpread = 100 * time.Millisecond
	// retryShare is the part of the time that a client still waits which a Retry-After may take.
	// Clients ignore longer values.
	retryShare = 3
	// retryPrecision is the precision of a Retry-After, which is rounded up.
	retryPrecision = 10 * time.Millisecond
)

// charge charges the request to the limit of its account. The host that received a forwarded
// request has charged it.
func (j *job) charge() *rejection {
	if j.account == nil || j.forwardedBy != "" || !j.account.Limit.IsSet() {
		return nil
	}
	units := j.account.Limit.Cost(j.params.PromptTokens + j.params.MaxTokens)
	if units <= 0 {
		return nil
	}
	j.units = units
	j.charged = j.r.cfg.Quota.Spend(j.req.Context(), j.account.Name, j.account.Limit, units)
	if j.charged.Action != quota.Reject {
		return nil
	}
	return newRejection(http.StatusTooManyRequests, j.retryAfterQuota(j.charged.Wait), "account %s has reached its limit", j.account.Name)
}

// retryAfterQuota returns the time after which the client may retry: the time until the account
// is admitted again, longer by up to half of it, which differs between requests.
func (j *job) retryAfterQuota(wait time.Duration) time.Duration {
	const parts = 1 << 10
	spread := float64(xxhash.Sum64String(j.params.ID)%parts) / parts
	wait += time.Duration(spread * float64(max(wait/2, minQuotaSpread)))
	if j.params.Timeout > 0 {
		wait = min(wait, (j.clientDeadline.Sub(j.r.cfg.Clock.Now()) / retryShare).Truncate(retryPrecision))
	}
	return max(retryPrecision, wait)
}

// returnUnits gives the units of a request that has not run back to its account.
func (j *job) returnUnits() {
	if j.units > 0 && j.charged.Action == quota.Admit && !j.mayHaveRun() {
		j.r.cfg.Quota.ReturnUnits(j.account.Name, j.charged, j.units)
	}
}

// quotaArgs returns what the log says of a request that was rejected by the account's limit.
func (j *job) quotaArgs() []any {
	d := j.charged
	if j.units <= 0 || d.Action != quota.Reject {
		return nil
	}
	return []any{"units", j.units, "level", d.Level, "share", d.Share, "decided-by", d.By, "decision-age-ms", d.Age.Milliseconds(), "wait-ms", d.Wait.Milliseconds()}
}
