package origin

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"cicadastand.dev/core/proto/feed"
)

const (
	// CopyCount is the number of other hosts that hold a copy of a record.
	CopyCount = 3
	// AskCount is the number of other hosts that are asked for a copy. One of the first may be
	// the host that wrote the record.
	AskCount = CopyCount + 1
)

// Rank returns hosts in the order in which they hold copies of the record of a stream. All hosts
// find the same order without communication. The first ones are of different failure domains.
func Rank(stream feed.StreamKey, hosts []feed.Host) []feed.Host {
	ordered := slices.SortedFunc(slices.Values(hosts), func(a, b feed.Host) int {
		return cmp.Or(cmp.Compare(copyScore(stream, a), copyScore(stream, b)), cmp.Compare(a.Name, b.Name))
	})
	first := lo.UniqBy(ordered, func(h feed.Host) string { return h.FailureDomain })
	rest := lo.Filter(ordered, func(h feed.Host, _ int) bool { return !slices.Contains(first, h) })
	return append(first, rest...)
}

func copyScore(stream feed.StreamKey, h feed.Host) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(stream))
	_, _ = d.WriteString(h.Name) // never fails
	return d.Sum64()
}

// Statement is what a host says of the origin of a stream.
type Statement struct {
	// Host is the name of the host.
	Host string
	// Build began the stream, if HasBuild is set.
	Build    string
	HasBuild bool
	// IsHolder is set for a host that gets a copy of the stream's record, if there is one.
	IsHolder bool
	// IsComplete is set if the host has all copies that it got for streams that can still be
	// resumed, or has written them to the store again.
	IsComplete bool
	// Base is the base build of the service that the host knows, with Term 0 if it knows none.
	Base feed.Base
	// IsSilent is set if the host did not respond.
	IsSilent bool
	// IsUnable is set if the software of the host holds no copies.
	IsUnable bool
}

// errUnheard reports a stream of which a host that did not respond may have a copy.
var errUnheard = errors.New("the store was restored from a copy, and hosts that may know the stream don't respond")

// ErrLost reports a stream whose record, if there was one, is lost, as are all copies.
type ErrLost struct {
	// Left is the time after which no such stream can be resumed any more.
	Left time.Duration
}

// Error says why the stream can't be resumed.
func (e *ErrLost) Error() string {
	return "the store was restored from a copy, and no host can tell which build began the stream"
}

// Judge returns the build that began a stream of which the store has no record, though it may have
// lost one, by what hosts say. That a holder has no copy shows that there was no record; the stream
// then began at the newest base build that one of the hosts knows. Hosts that hold no copies leave
// only the base build to go by.
func Judge(own feed.Base, statements []Statement) (Answer, error) {
	if s, ok := lo.Find(statements, func(s Statement) bool { return s.HasBuild }); ok {
		return Answer{Build: s.Build, From: FromCopy}, nil
	}
	base := own
	for _, s := range statements {
		if s.Base.Term > base.Term {
			base = s.Base
		}
	}
	isBase := lo.SomeBy(statements, func(s Statement) bool { return s.IsUnable || s.IsHolder && s.IsComplete })
	if !isBase || base.Term == 0 {
		if lo.SomeBy(statements, func(s Statement) bool { return s.IsSilent }) {
			return Answer{}, errUnheard
		}
		return Answer{}, &ErrLost{}
	}
	return Answer{Build: base.Build, From: FromBase}, nil
}
