// Package report summarizes a run as a table, as JSON for later comparison and as a
// plot.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadastand.dev/core/state/prefix"
	"cicadastand.dev/loads/drive"
	"cicadastand.dev/loads/plan"
)

// Summary holds the results of a run.
type Summary struct {
	Label   string           `json:"label"`
	Seed    uint64           `json:"seed"`
	Elapsed time.Duration    `json:"took"`
	Skipped int              `json:"skipped"`
	Streams []StreamSummary  `json:"streams"`
	Orders  drive.OrderCheck `json:"orders"`
	// HitRate is the share of the prompt tokens of correct responses that came from
	// an engine's cache. BestHitRate is the best possible one for the same requests.
	HitRate     float64 `json:"hit-rate"`
	BestHitRate float64 `json:"best-hit-rate"`
	// MissedShare is the share of uncached prompt tokens that a single engine with
	// unbounded memory would have had cached from an earlier request. They were
	// computed again, or imported from the KV cache store.
	MissedShare float64 `json:"missed"`
}

// StreamSummary holds the results of one stream.
type StreamSummary struct {
	Name     string         `json:"name"`
	Requests int            `json:"asked"`
	Correct  int            `json:"right"`
	Rejected int            `json:"refused"`
	Unknown  int            `json:"unknown"`
	Failed   int            `json:"failed"`
	Wrong    int            `json:"wrong"`
	Codes    map[string]int `json:"codes"`
	HitRate  float64        `json:"hit-rate"`
	// FirstToken is the time to first token, and Total the time to the end of the
	// response.
	FirstToken Quantiles `json:"first-token"`
	Total      Quantiles `json:"total"`
	// Detail describes one of the errors, preferably one with the outcome Wrong.
	Detail string `json:"detail,omitempty"`
}

// Quantiles are times in microseconds.
type Quantiles struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

const (
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Summarize computes the summary of a run. Requests that arrive during the warm-up
// are excluded from the best possible hit rate, because they have no samples.
func Summarize(label string, w *plan.Workload, requests []plan.Request, warmUp time.Duration, result drive.Result) Summary {
	s := Summary{Label: label, Seed: w.Seed, Elapsed: result.Elapsed, Skipped: result.Skipped, Orders: result.Orders}
	prompt, cached := 0, 0
	for i := range w.Streams {
		line, p, c := summarizeStream(w.Streams[i].Name, result.Samples)
		s.Streams = append(s.Streams, line)
		prompt += p
		cached += c
	}
	s.HitRate = ratio(cached, prompt)
	s.BestHitRate = bestHitRate(w, requests, warmUp)
	if prompt > cached {
		s.MissedShare = max(0, s.BestHitRate-s.HitRate) * float64(prompt) / float64(prompt-cached)
	}
	return s
}

func summarizeStream(name string, samples []drive.Sample) (line StreamSummary, prompt, cached int) {
	line = StreamSummary{Name: name, Codes: make(map[string]int)}
	first := hdrhistogram.New(1, maxMicros, significantDigits)
	total := hdrhistogram.New(1, maxMicros, significantDigits)
	for _, s := range samples {
		if s.Stream != name {
			continue
		}
		line.add(s)
		if s.Outcome != drive.Correct {
			continue
		}
		prompt += s.PromptTokens
		cached += s.CachedTokens
		if s.FirstToken > 0 {
			_ = first.RecordValue(s.FirstToken.Microseconds())
		}
		_ = total.RecordValue(s.Total.Microseconds())
	}
	line.HitRate = ratio(cached, prompt)
	line.FirstToken = quantiles(first)
	line.Total = quantiles(total)
	return line, prompt, cached
}

func (l *StreamSummary) add(s drive.Sample) {
	l.Requests++
	switch s.Outcome {
	case drive.Correct:
		l.Correct++
	case drive.Rejected:
		l.Rejected++
	case drive.Unknown:
		l.Unknown++
	case drive.Wrong:
		l.Wrong++
	case drive.Failed:
		l.Failed++
	}
	if s.Code != "" {
		l.Codes[s.Code]++
	}
	if s.Detail != "" && (l.Detail == "" || s.Outcome == drive.Wrong) {
		l.Detail = s.Detail
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// bestHitRate returns the hit rate that a single engine with unbounded memory would
// reach on the same requests, if it evicted each piece CacheLifetime after its last
// use.
func bestHitRate(w *plan.Workload, requests []plan.Request, warmUp time.Duration) float64 {
	last := make(map[prefix.Key]time.Duration)
	prompt, cached := 0, 0
	for _, r := range requests {
		if r.Stream.Kind != plan.Completion {
			continue
		}
		text := "user\n" + r.Prompt + "\x1e"
		scope := prefix.Scope{Account: r.Stream.Account, Model: r.Stream.Model, WeightsVersion: r.Stream.WeightsVersion}
		counted := r.At >= warmUp
		if counted {
			prompt += prefix.EstimateTokens(text)
		}
		prefixCached := true
		for _, k := range prefix.Chain(scope, text) {
			at, ok := last[k]
			prefixCached = prefixCached && ok && r.At-at <= w.CacheLifetime
			if prefixCached && counted {
				cached += prefix.PieceTokens
			}
			last[k] = r.At
		}
	}
	return ratio(cached, prompt)
}

// Print writes the summary to w as a table.
func (s Summary) Print(w io.Writer) error {
	const gap = 2
	tw := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	_, _ = fmt.Fprintln(tw, "STREAM\tASKED\tRIGHT\tREFUSED\tUNKNOWN\tFAILED\tWRONG\tHIT-RATE\tTTFT-P50\tTTFT-P95\tTTFT-P99\tTOTAL-P95\tCODES")
	for _, l := range s.Streams {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t%s\t%s\n", l.Name, l.Requests, l.Correct, l.Rejected,
			l.Unknown, l.Failed, l.Wrong, 100*l.HitRate, ms(l.FirstToken.P50), ms(l.FirstToken.P95), ms(l.FirstToken.P99), ms(l.Total.P95), codes(l.Codes))
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	_, err := fmt.Fprintf(w, "hit rate %.1f%% of a best possible %.1f%%; brought before, and missed: %.1f%% of tokens not cached\n"+
		"orders: %d ran once, %d ran twice, %d ran behind \"not run\", %d did not run behind \"completed\"; %d requests not sent\n",
		100*s.HitRate, 100*s.BestHitRate, 100*s.MissedShare,
		s.Orders.Placed, s.Orders.Twice, s.Orders.FalseNotRun, s.Orders.FalseDone, s.Skipped)
	if err != nil {
		return fmt.Errorf("print summary: %w", err)
	}
	return nil
}

// Passed reports whether no response was wrong and every order was executed as the
// responses said. Rejected and failed requests are allowed.
func (s Summary) Passed() bool {
	for _, l := range s.Streams {
		if l.Wrong > 0 {
			return false
		}
	}
	return s.Orders.Twice == 0 && s.Orders.FalseNotRun == 0 && s.Orders.FalseDone == 0
}

// Write writes the summary as JSON and Markdown, and a plot of the samples, into a
// folder.
func (s Summary) Write(folder string, samples []drive.Sample) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("create report folder: %w", err)
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("encode summary: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "summary.json"), raw, 0o644); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "# Run %s, seed %d\n\n```\n", s.Label, s.Seed)
	if err := s.Print(&b); err != nil {
		return err
	}
	b.WriteString("```\n\n![time to first token](first-token.png)\n")
	if err := os.WriteFile(filepath.Join(folder, "report.md"), []byte(b.String()), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return plotFirstToken(filepath.Join(folder, "first-token.png"), samples)
}

func ms(micros int64) string {
	return (time.Duration(micros) * time.Microsecond).Round(100 * time.Microsecond).String()
}

func codes(counts map[string]int) string {
	if len(counts) == 0 {
		return "-"
	}
	var parts []string
	for _, c := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", c, counts[c]))
	}
	return strings.Join(parts, ",")
}
