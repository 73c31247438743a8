// Package usage counts the requests of each account, their results and their tokens.
package usage

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"cicadastand.dev/core/state/fleet"
)

// Key identifies one line of a report.
type Key struct {
	Account string     `json:"account"`
	Rank    fleet.Rank `json:"rank"`
}

// Line counts the requests of one account and rank.
type Line struct {
	Key
	Asked    int            `json:"asked"`
	Admitted int            `json:"admitted"`
	Refused  map[string]int `json:"refused"`
	// Completed counts requests with a complete response. InTime counts those that met
	// their service target and Late those that missed it.
	Completed int `json:"completed"`
	InTime    int `json:"in-time"`
	Late      int `json:"late"`
	// Failed counts admitted requests without a complete response.
	Failed       int `json:"failed"`
	PromptTokens int `json:"prompt-tokens"`
	CachedTokens int `json:"cached-tokens"`
	AnswerTokens int `json:"answer-tokens"`
	// FirstToken is a histogram of the times to first token; see Bounds.
	FirstToken [buckets]int `json:"first-token"`
}

const buckets = 16

// Bounds returns the upper bounds of the buckets of FirstToken. The last bucket has
// no upper bound.
func Bounds() []time.Duration {
	out := make([]time.Duration, buckets-1)
	d := 5 * time.Millisecond
	for i := range out {
		out[i] = d
		d = d * 8 / 5
	}
	return out
}

// Result is the result of one admitted request.
type Result struct {
	Complete     bool
	InTime       bool
	FirstToken   time.Duration
	PromptTokens int
	CachedTokens int
	AnswerTokens int
}

// Counters holds the counters of one host. It is safe for concurrent use.
//
// Lock order: Counters.mu is a leaf.
type Counters struct {
	mu     sync.Mutex
	lines  map[Key]*Line
	bounds []time.Duration
}

// New returns counters at zero.
func New() *Counters { return &Counters{lines: make(map[Key]*Line), bounds: Bounds()} }

// CountRequest counts a request.
func (c *Counters) CountRequest(k Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line(k).Asked++
}

// CountAdmitted counts an admitted request.
func (c *Counters) CountAdmitted(k Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line(k).Admitted++
}

// CountRejected counts a request that was rejected before it ran, by reason.
func (c *Counters) CountRejected(k Key, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line(k).Refused[reason]++
}

// CountResult counts the result of an admitted request.
func (c *Counters) CountResult(k Key, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.line(k)
	l.PromptTokens += r.PromptTokens
	l.CachedTokens += r.CachedTokens
	l.AnswerTokens += r.AnswerTokens
	if r.FirstToken > 0 {
		l.FirstToken[c.bucket(r.FirstToken)]++
	}
	switch {
	case !r.Complete:
		l.Failed++
		return
	case r.InTime:
		l.InTime++
	default:
		l.Late++
	}
	l.Completed++
}

func (c *Counters) line(k Key) *Line {
	l, ok := c.lines[k]
	if !ok {
		l = &Line{Key: k, Refused: make(map[string]int)}
		c.lines[k] = l
	}
	return l
}

func (c *Counters) bucket(d time.Duration) int {
	return sort.Search(len(c.bounds), func(i int) bool { return d <= c.bounds[i] })
}

// Report holds the counters of one host.
type Report struct {
	Host  string `json:"host"`
	Lines []Line `json:"lines"`
}

// Report returns the lines of an account, or of all accounts if account is empty.
func (c *Counters) Report(host, account string) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Report{Host: host}
	for k, l := range c.lines {
		if account != "" && k.Account != account {
			continue
		}
		line := *l
		line.Refused = make(map[string]int, len(l.Refused))
		for reason, n := range l.Refused {
			line.Refused[reason] = n
		}
		out.Lines = append(out.Lines, line)
	}
	sortLines(out.Lines)
	return out
}

// Sum adds up the reports of several hosts by account and rank.
func Sum(reports []Report) []Line {
	by := make(map[Key]*Line)
	for _, r := range reports {
		for i := range r.Lines {
			add(by, &r.Lines[i])
		}
	}
	out := make([]Line, 0, len(by))
	for _, l := range by {
		out = append(out, *l)
	}
	sortLines(out)
	return out
}

func add(by map[Key]*Line, l *Line) {
	sum, ok := by[l.Key]
	if !ok {
		sum = &Line{Key: l.Key, Refused: make(map[string]int)}
		by[l.Key] = sum
	}
	sum.Asked += l.Asked
	sum.Admitted += l.Admitted
	sum.Completed += l.Completed
	sum.InTime += l.InTime
	sum.Late += l.Late
	sum.Failed += l.Failed
	sum.PromptTokens += l.PromptTokens
	sum.CachedTokens += l.CachedTokens
	sum.AnswerTokens += l.AnswerTokens
	for reason, n := range l.Refused {
		sum.Refused[reason] += n
	}
	for i, n := range l.FirstToken {
		sum.FirstToken[i] += n
	}
}

func sortLines(lines []Line) {
	sort.Slice(lines, func(i, j int) bool {
		if lines[i].Account != lines[j].Account {
			return lines[i].Account < lines[j].Account
		}
		return lines[i].Rank.Index() < lines[j].Rank.Index()
	})
}

// HitRate returns the share of prompt tokens that were cached.
func (l *Line) HitRate() float64 {
	if l.PromptTokens == 0 {
		return 0
	}
	return float64(l.CachedTokens) / float64(l.PromptTokens)
}

// FirstTokenQuantile returns the upper bound of the bucket that a quantile of the
// times to first token falls into. For the last bucket it returns the largest bound.
func (l *Line) FirstTokenQuantile(q float64) time.Duration {
	total := 0
	for _, n := range l.FirstToken {
		total += n
	}
	bounds := Bounds()
	seen := 0
	for i, n := range l.FirstToken {
		seen += n
		if n > 0 && float64(seen) >= q*float64(total) {
			return bounds[min(i, len(bounds)-1)]
		}
	}
	return 0
}

// Encode encodes the report as JSON.
func (r Report) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode usage: %w", err)
	}
	return data, nil
}

// Decode decodes a report from JSON.
func Decode(data []byte) (Report, error) {
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return Report{}, fmt.Errorf("decode usage: %w", err)
	}
	return r, nil
}
