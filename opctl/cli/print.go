package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// table is printed with aligned columns.
type table struct{ rows [][]string }

func newTable(head ...string) *table { return &table{rows: [][]string{head}} }

func (t *table) row(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

func (t *table) print(w io.Writer) error {
	const gap = 2
	tw := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func (c *command) printf(format string, args ...any) error {
	if _, err := fmt.Fprintf(c.stdout, format, args...); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func (c *command) printJSON(v any) error {
	enc := json.NewEncoder(c.stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// formatCounts formats counts by reason, or returns a dash if there are none.
func formatCounts(counts map[string]int) string {
	if len(counts) == 0 {
		return "-"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, counts[reason]))
	}
	return strings.Join(parts, ",")
}

// formatWeights formats weights versions by model, or returns a dash if there are none.
func formatWeights(by map[string]string) string {
	if len(by) == 0 {
		return "-"
	}
	var parts []string
	for _, model := range slices.Sorted(maps.Keys(by)) {
		parts = append(parts, model+"="+by[model])
	}
	return strings.Join(parts, ",")
}
