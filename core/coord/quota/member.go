package quota

import (
	"time"
)

// member is the use of an account by one host of the domain.
type member struct {
	demand float64
	spent  float64
	// lower is set if the last report had a lower total: the host was restarted, or the report
	// was overtaken by a later one.
	lower   bool
	seen    time.Duration
	granted float64
	// most is the highest grant that may have been spent since the last report, and mostAt when
	// it was granted.
	most   float64
	mostAt time.Duration
}

// charge returns the units that the host has spent since its last report. They are at most what
// it was granted: more was granted by another hub, which charges it.
func (m *member) charge(total float64) float64 {
	if total < m.spent {
		// A restart shows in two reports, one that was overtaken in one only.
		if m.lower {
			m.spent = total
		}
		m.lower = !m.lower
		return 0
	}
	m.lower = false
	spent := min(total-m.spent, m.most*(GrantLife+grantSpan).Seconds())
	m.spent = total
	return spent
}

// grant returns the units per second that a host may spend without asking: a part by its demand.
func (b *bucket) grant(m *member, now time.Duration) float64 {
	sum := 0.0
	for _, o := range b.hosts {
		if now-o.seen <= memberTimeout {
			sum += o.demand
		}
	}
	if sum <= 0 {
		return 0
	}
	return min(grantShare*b.share*b.limit.Rate*m.demand/sum, grantGrowth*m.demand)
}
