package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// Compare prints the summaries of several runs as one table.
func Compare(w io.Writer, paths []string) error {
	const gap = 2
	tw := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	_, _ = fmt.Fprintln(tw, "RUN\tSTREAM\tASKED\tRIGHT\tREFUSED\tOTHER\tHIT-RATE\tOF-BEST\tMISSED\tTTFT-P50\tTTFT-P95\tTTFT-P99")
	for _, path := range paths {
		s, err := readSummary(path)
		if err != nil {
			return err
		}
		for _, l := range s.Streams {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f%%\t%.1f%%\t%s\t%s\t%s\n", s.Label, l.Name, l.Requests, l.Correct,
				l.Rejected, l.Unknown+l.Failed+l.Wrong, 100*l.HitRate, 100*s.HitRate/s.BestHitRate, 100*s.MissedShare,
				ms(l.FirstToken.P50), ms(l.FirstToken.P95), ms(l.FirstToken.P99))
		}
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("print comparison: %w", err)
	}
	return nil
}

func readSummary(path string) (Summary, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Summary{}, fmt.Errorf("read summary: %w", err)
	}
	var s Summary
	if err := json.Unmarshal(raw, &s); err != nil {
		return Summary{}, fmt.Errorf("decode summary %s: %w", path, err)
	}
	return s, nil
}
