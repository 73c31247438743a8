package taint

import "time"

const (
	// SettledTime is how long after its first event an answer shows that the parts of its prompt
	// crash no engine. An engine that crashes then does so for another reason.
	SettledTime = 1500 * time.Millisecond
	// OutliveMargin is how much longer than at a crash another answer must go on to dismiss the
	// crash. Engines that crash on a part don't all do so after the same time.
	OutliveMargin = 300 * time.Millisecond
	// precision is that of the times in messages. Without it hosts could differ on a pair.
	precision = time.Millisecond
	// whole is the time for which an answer that ended, or settled, counts as going on.
	whole = SettledTime + OutliveMargin
)

// Pair is a crash of an endpoint while it had requests with a part.
type Pair struct {
	Part string
	// Endpoint is the incarnation that crashed.
	Endpoint string
	// Depth is the position of the part in the prompt, from 0.
	Depth int
	// Crashed is when the endpoint crashed, as time since boot.
	Crashed time.Duration
	// Ran is the time from the first event of an answer to the crash, the longest of all answers
	// to requests with the part there; 0 before the first event. At most SettledTime.
	Ran time.Duration
	// Outlived is the longest time, from its first event, for which an answer to another request
	// with the part is known to have gone on.
	Outlived time.Duration
}

// IsDismissed reports whether the part is known not to have crashed the endpoint: an answer to
// another request with it went on for longer. All hosts conclude the same from the same pair,
// since both times only rise.
func (p *Pair) IsDismissed() bool { return p.Outlived >= p.Ran+OutliveMargin }

// raise merges what another pair of the same part and endpoint says, and reports whether that
// changes anything.
func (p *Pair) raise(in Pair) bool {
	before := *p
	p.Depth = max(p.Depth, in.Depth)
	p.Ran = max(p.Ran, in.Ran)
	p.Outlived = max(p.Outlived, in.Outlived)
	changed := *p != before
	p.Crashed = min(p.Crashed, in.Crashed)
	return changed
}
