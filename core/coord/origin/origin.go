// Package origin knows which build of a service's software began each stream. Streams can be
// resumed only at that build.
//
// The load pattern is a release that leaves two builds in service while streams break off by
// the hundred: engines crash, or all hosts lose power at once and no process remembers the
// streams that it served. So that a host which has just started can tell, the origin of a
// stream is recorded in the platform's store before its first event is sent. To record each
// stream would exceed what the store takes, and make it a condition for service. Therefore
// each service has a base build, also in the store, and a stream without a record began at
// the base build. While the store takes no records, new streams go to the base build.
//
// The store may come back from an older copy, and a host may be killed then that had written
// records since. Three other hosts hold copies of each record; for as long as such streams can be
// resumed, a missing record says nothing until these hosts were asked.
//
// The base build changes only after it has not been listed for so long that no client still
// resumes its streams.
package origin

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadastand.dev/core/proto/feed"
)

// Config configures a Table.
type Config struct {
	// Retention is how long origins are remembered, and how long a base build must not have
	// been listed before another one replaces it. No client resumes a stream for longer.
	Retention time.Duration
	// MaxListAge is the age up to which the endpoint list tells the builds that may have begun
	// a stream; 0 for any age.
	MaxListAge time.Duration
	// SettleTime is how long a build must have been listed before streams begin there while
	// others are listed. It is longer than MaxListAge, so that a host whose list lacks the
	// build knows by then that its list is too old.
	SettleTime time.Duration
	// IsFirstStart is set if the hosts start for the first time, so that no stream has begun
	// before.
	IsFirstStart bool
	// Started is when this host started.
	Started time.Duration
}

// Table holds origins, and the builds of each service. It is safe for concurrent use. All
// times are those of a clock that keeps counting during suspension.
//
// Lock order: Table.mu is a leaf.
type Table struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*service
	// listedAt is the time at which the endpoint list is known to have been current.
	listedAt time.Duration
	// current and previous hold the origins in two generations, so that old ones are
	// dropped without a search.
	current   map[feed.StreamKey]string
	previous  map[feed.StreamKey]string
	rotatedAt time.Duration
	// era is the newest known era of the store, known since eraSince, and wholeEra one up to
	// which no record is missing of a stream that can still be resumed.
	era      int64
	eraSince time.Duration
	wholeEra int64
	// sawRestore is set if an earlier era was known, and repeated holds the marks of hosts that
	// have repeated their records.
	sawRestore bool
	// mayCover is set if this host lacked no record or copy when it learnt of the era, and covers if
	// the copy of the store was also made after its start: it then has all copies that are lost.
	mayCover bool
	covers   bool
	repeated map[feed.RepeatMark]bool
}

// service is what is known of the builds of a service.
type service struct {
	// base is valid if base.Term is above 0. It was read at baseRead.
	base     feed.Base
	baseRead time.Duration
	// listed holds the number of listed endpoints of each build, and since when it has been
	// listed without a break.
	listed map[string]listing
	// baseLost is when the base build was first found to be no longer listed; 0 if it is.
	baseLost time.Duration
	// soleSince is since when the listed endpoints are of one build.
	soleSince time.Duration
}

type listing struct {
	count int
	since time.Duration
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:      cfg,
		services: make(map[string]*service),
		current:  make(map[feed.StreamKey]string),
		previous: make(map[feed.StreamKey]string),
		repeated: make(map[feed.RepeatMark]bool),
	}
}

func (t *Table) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{listed: make(map[string]listing)}
		t.services[name] = s
	}
	return s
}

// Add remembers origins.
func (t *Table) Add(now time.Duration, records ...feed.Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now-t.rotatedAt > t.cfg.Retention {
		t.previous, t.current, t.rotatedAt = t.current, make(map[feed.StreamKey]string), now
	}
	for _, r := range records {
		t.current[r.Stream] = r.Build
	}
}

// Find returns the remembered origin of a stream.
func (t *Table) Find(stream feed.StreamKey) (build string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if build, ok = t.current[stream]; !ok {
		build, ok = t.previous[stream]
	}
	return build, ok
}

// State returns what this host says of the origin of a stream of a service.
func (t *Table) State(name string, stream feed.StreamKey, now time.Duration) Statement {
	build, ok := t.Find(stream)
	base, _ := t.Base(name)
	return Statement{Build: build, HasBuild: ok, Base: base, IsComplete: t.IsComplete(now)}
}

// SetListed sets the number of listed endpoints of each build of a service.
func (t *Table) SetListed(name string, counts map[string]int, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	next := make(map[string]listing, len(counts))
	for build, n := range counts {
		l, ok := s.listed[build]
		if !ok {
			l.since = now
		}
		l.count = n
		next[build] = l
	}
	if len(next) == 1 && (len(s.listed) != 1 || !slices.Equal(slices.Collect(maps.Keys(next)), slices.Collect(maps.Keys(s.listed)))) {
		s.soleSince = now
	}
	s.listed = next
	t.updateLost(s, now)
}

// SetListTime records that the endpoint list was current at a time.
func (t *Table) SetListTime(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedAt = max(t.listedAt, at)
}

// IsListCurrent reports whether the endpoint list tells the builds that may have begun a
// stream. A host that was suspended or cut off from the others may lack a build at which they
// have begun streams since.
func (t *Table) IsListCurrent(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.MaxListAge == 0 || now-t.listedAt <= t.cfg.MaxListAge
}

// SettledBuilds returns the builds of a service at which streams should begin, and false if
// they may begin at any.
func (t *Table) SettledBuilds(name string, now time.Duration) ([]string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := t.service(name).listed
	var settled []string
	for build, l := range listed {
		if now-l.since >= t.cfg.SettleTime {
			settled = append(settled, build)
		}
	}
	return settled, len(settled) > 0 && len(settled) < len(listed)
}

// updateLost updates since when the base build is not listed; the caller holds the lock.
func (t *Table) updateLost(s *service, now time.Duration) {
	if _, ok := s.listed[s.base.Build]; ok {
		s.baseLost = 0
	} else if s.baseLost == 0 {
		s.baseLost = now
	}
}

// SetBase records the base build that a read of the store found, which began at started. A
// base build of an earlier term than the known one is ignored, and reported with false: the
// store was restored from a copy.
func (t *Table) SetBase(base feed.Base, started, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(base.Service)
	if base.Term < s.base.Term {
		return false
	}
	if base != s.base {
		s.base, s.baseLost = base, 0
		t.updateLost(s, now)
	}
	s.baseRead = max(s.baseRead, started)
	return true
}

// Base returns the base build of a service, and false if none is known.
func (t *Table) Base(name string) (feed.Base, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	return s.base, s.base.Term > 0
}

// Forget makes what was read of base builds outdated. The builds themselves are kept.
func (t *Table) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		s.baseRead = 0
	}
}

// NeedsRead reports whether the base build of a service has to be read: none is known, or a
// build was listed since. It may have been the base build before, and may not be any more.
func (t *Table) NeedsRead(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if s.base.Term == 0 {
		return len(s.listed) > 0
	}
	for _, l := range s.listed {
		if s.baseRead < l.since {
			return true
		}
	}
	return false
}

// MayBeOutdated reports whether another host may have changed the base build of a service
// without the knowledge of this one: the build is not listed, or was not read since.
func (t *Table) MayBeOutdated(name string) bool {
	if t.NeedsRead(name) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(name).baseLost > 0
}

// NeedsRecord reports whether the origin of a stream that begins at a build must be
// recorded.
func (t *Table) NeedsRecord(name, build string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	l, ok := s.listed[build]
	return s.base.Term == 0 || build != s.base.Build || !ok || s.baseRead < l.since
}

// NeedsCopy reports whether the origin of a stream without a record should be made known to other
// hosts: the store may lack records, so that a missing one does not tell the base build.
func (t *Table) NeedsCopy(name string, now time.Duration) bool {
	if t.IsWhole(now) {
		return false
	}
	_, ok := t.SoleListed(name, now)
	return !ok
}

// MayBeginUnrecorded reports whether streams of a service may begin without a record while the
// store takes none. No listed build is the base build then, or it is the only one: after a
// loss of power a stream without a record is resumed at its build or not at all.
func (t *Table) MayBeginUnrecorded(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	_, listed := s.listed[s.base.Build]
	return len(s.listed) == 1 || s.base.Term > 0 && !listed
}

// Propose returns the base build that a service should get, and false if it has the right
// one: the build with most endpoints, once the base build has not been listed for the
// retention time.
func (t *Table) Propose(name string, now time.Duration) (feed.Base, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if len(s.listed) == 0 {
		return feed.Base{}, false
	}
	if s.base.Term > 0 && (s.baseLost == 0 || now-s.baseLost <= t.cfg.Retention) {
		return feed.Base{}, false
	}
	builds := slices.Sorted(maps.Keys(s.listed))
	most := slices.MaxFunc(builds, func(a, b string) int { return s.listed[a].count - s.listed[b].count })
	return feed.Base{Service: name, Build: most, Term: s.base.Term + 1}, true
}

var (
	// errUnknown reports a stream whose origin can't be told.
	errUnknown = errors.New("no build is known to have begun the stream")
	// errUnnamed reports a client that does not say which stream it resumes, while several
	// builds may have begun it.
	errUnnamed = errors.New("the client does not name the stream, and several builds serve")
	// errListAge reports such a client while the endpoint list may lack a build.
	errListAge = errors.New("the client does not name the stream, and the endpoint list is too old")
)

// From says what an Answer is based on.
type From string

const (
	// FromMemory is a stream that this host began, or whose record it had read before.
	FromMemory From = "memory"
	// FromRecord is a record that was read from the store for this answer.
	FromRecord From = "record"
	// FromList is the only build in the endpoint list.
	FromList From = "list"
	// FromCopy is another host's copy of a record that the store has lost.
	FromCopy From = "copy"
	// FromBase is the base build, for a stream without a record.
	FromBase From = "base"
)

// Answer is the build that began a stream.
type Answer struct {
	Build string
	From  From
}

// Resolve returns the build that began a stream, if the store's records up to now have been
// added.
func (t *Table) Resolve(name string, stream feed.StreamKey, now time.Duration) (Answer, error) {
	if build, ok := t.Find(stream); ok {
		return Answer{Build: build, From: FromRecord}, nil
	}
	if build, ok := t.Sole(name, now); ok {
		return Answer{Build: build, From: FromList}, nil
	}
	if stream == 0 {
		if !t.IsListCurrent(now) {
			return Answer{}, errListAge
		}
		build, err := t.onlyListed(name)
		return Answer{Build: build, From: FromList}, err
	}
	if base, ok := t.Base(name); ok {
		return Answer{Build: base.Build, From: FromBase}, nil
	}
	return Answer{}, errUnknown
}

// onlyListed returns the build of all endpoints of a service. It is that of a stream of which
// the client does not say which one it is.
func (t *Table) onlyListed(name string) (string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if len(s.listed) != 1 {
		return "", errUnnamed
	}
	for build := range s.listed {
		return build, nil
	}
	return "", errUnnamed
}

// Sole returns the build that all endpoints of a service have had for the retention time. All
// streams that can be resumed began there.
func (t *Table) Sole(name string, now time.Duration) (string, bool) {
	if !t.IsListCurrent(now) {
		return "", false
	}
	return t.SoleListed(name, now)
}

// SoleListed is like Sole for an endpoint list of any age.
func (t *Table) SoleListed(name string, now time.Duration) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if len(s.listed) != 1 || now-s.soleSince <= t.cfg.Retention {
		return "", false
	}
	for build := range s.listed {
		return build, true
	}
	return "", false
}
