// Package quota enforces the limits of client accounts over all hosts of a system. The
// hub of each failure domain keeps one bucket per account, which is filled at the domain's
// share of the limit. Hosts ask their hub for each request while an account is close to its
// share, and spend grants of the hub without asking while it is far from it.
//
// It answers two loads. An account may ask for seven times its usual rate for several
// seconds: the excess is rejected at the hosts, without a message for each request. A limit
// may be smaller than a few requests per second, too small to be divided among the hosts.
//
// Nothing here does input or output or reads a clock. All times count suspended time.
package quota

import (
	"math"
	"time"

	"cicadastand.dev/core/state/site"
)

const (
	// demandSpan is the time over which demand is averaged.
	demandSpan = 2 * time.Second
	// minDemandSpan is that time for large limits: those at which more than demandRequests
	// requests fit into it. Their shares follow clients that move to other domains sooner.
	minDemandSpan  = 1000 * time.Millisecond
	demandRequests = 20
	// headroom multiplies the demand of a failure domain, so that it may grow by this factor
	// until the other domains hear of it.
	headroom = 1.5
	// minDemand is the part of a limit that each domain is taken to demand at least. A domain
	// without demand keeps a small share, so that its first request is not refused.
	minDemand = 0.02
	// maxFloor is the part of a limit up to which each domain is taken to demand its largest
	// request once in demandSpan. The demand for a limit of a few requests per second is mostly
	// chance; shares that follow it refuse 1.2% of the requests of an account at 0.6 of such a
	// limit, and 0.02% with this floor (trials with the model of the tests).
	maxFloor = 1.0 / 6
	// silentAfter is the time after which a domain that is not heard counts as cut off.
	silentAfter = time.Second
	// memberTimeout is the time after which a host that does not report is no longer counted
	// as a member, and after which a hub without reports starts anew.
	memberTimeout = 1500 * time.Millisecond
	// sourceTimeout is the time after which the demand of a host of another domain is dropped
	// if other hosts of that domain are heard.
	sourceTimeout = 5 * time.Second
	// GrantLife is how long a grant is valid, and grantSpan the time in which a host may
	// accumulate units of a grant.
	GrantLife = time.Second
	grantSpan = 500 * time.Millisecond
	// grantShare is the part of a domain's share that is granted in total. If all hosts spend
	// their grants while the hub hears nothing, grantShare x (GrantLife + grantSpan) = 0.6
	// seconds of the share are spent in excess. The default overage is 0.8 seconds of it.
	grantShare = 0.4
	// grantGrowth is how much more than its demand a host is granted.
	grantGrowth = 3
	// askFactor is how many requests a hub is asked for each that it charges, and the demand, as
	// a multiple of the share, above which it limits them.
	askFactor = 2
	// minSpan is the burst, in time at the rate, of limits whose burst is 0.
	minSpan = 20 * time.Millisecond
	// largestFor is how long the largest request of an account counts.
	largestFor = 30 * time.Second
	// idleTimeout is how long the state of an idle account is retained.
	idleTimeout = 10 * time.Second
	// marginShare is the part of the slack, after the largest request, that is added to the burst
	// of limits in tokens. A domain's part of a small limit is about one long request; without
	// the margin it would refuse requests that come close together by chance.
	marginShare = 0.5
)

// Tolerance is by how much the accounts may exceed their limits: in any Window, by a share
// Overage plus Slack units.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// slack returns the slack in units of a limit. It applies to limits in tokens, since it would be
// more than any limit in requests.
func (t Tolerance) slack(l site.Limit) float64 {
	if l.Unit != site.UnitTokens {
		return 0
	}
	return t.Slack
}

// units returns the whole tolerance in units of a limit.
func (t Tolerance) units(l site.Limit) float64 {
	return t.Overage*(l.Rate*t.Window.Seconds()+l.Burst) + t.slack(l)
}

// Use is the use of an account's limit at a host, or in a failure domain.
type Use struct {
	Account string
	// Demand is in units per second. It includes rejected requests.
	Demand float64
	// Spent is the running total of the units that a host has spent without asking since its
	// start; 0 for a domain.
	Spent float64
}

// Grant allows one host to spend units without asking.
type Grant struct {
	Account string
	// PerSecond is in units; 0 if the host has to ask.
	PerSecond float64
}

// Reply is a hub's decision on one request.
type Reply struct {
	Charged bool
	// Wait is the time until requests of the account are charged again.
	Wait time.Duration
	// Unknown is set if the hub does not know the limit.
	Unknown bool
	// Level is the level of the bucket, and Share the domain's share of the limit, in units
	// per second. They are for logs.
	Level float64
	Share float64
}

// average is an exponentially weighted rate in units per second.
type average struct {
	perSecond float64
	at        time.Duration
	span      time.Duration
}

func (a average) value(now time.Duration) float64 {
	if a.span <= 0 {
		return 0
	}
	return a.perSecond * math.Exp(-float64(max(0, now-a.at))/float64(a.span))
}

// add counts a request to an account with a limit in units per second.
func (a *average) add(units, perSecond float64, now time.Duration) {
	value := a.value(now)
	if span := min(demandSpan, max(minDemandSpan, after(demandRequests*units, perSecond))); a.span < span {
		a.span = span
	}
	*a = average{perSecond: value + units/a.span.Seconds(), at: now, span: a.span}
}

// after returns the time in which a rate yields a number of units, at least a millisecond.
func after(units, perSecond float64) time.Duration {
	const longest = time.Minute
	if perSecond <= 0 || units/perSecond > longest.Seconds() {
		return longest
	}
	return max(time.Millisecond, time.Duration(units/perSecond*float64(time.Second)))
}
