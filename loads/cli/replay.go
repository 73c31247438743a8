package cli

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cicadastand.dev/core/coord/route"
	"cicadastand.dev/core/trans/setup"
	"cicadastand.dev/loads/drive"
	"cicadastand.dev/loads/plan"
	"cicadastand.dev/loads/replay"
	"cicadastand.dev/loads/report"
)

// replayFile is a workload file that also describes the simulated engines and routers.
type replayFile struct {
	plan.Workload `yaml:",inline"`
	Site          replay.Config `yaml:"site"`
}

// Validate checks the workload and the simulation settings.
func (f *replayFile) Validate() error {
	if err := f.Workload.Validate(); err != nil {
		return err
	}
	return f.Site.Validate()
}

// replayAll replays a workload with each routing policy and prints the results as one
// table.
func replayAll(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("replay", flag.ContinueOnError)
	fs.SetOutput(stderr)
	path := fs.String("workload", "workload.yaml", "file that describes the workload and the site")
	policy := fs.String("policy", "", "one routing policy instead of all")
	seed := fs.Uint64("seed", 0, "seed instead of the workload's")
	without := fs.String("without", "", "leave out streams whose name begins with this text")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	f := &replayFile{Workload: plan.Defaults(), Site: replay.DefaultConfig()}
	if err := setup.Load(*path, f); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if *seed != 0 {
		f.Seed = *seed
	}
	if *without != "" {
		f.Streams = slices.DeleteFunc(f.Streams, func(s plan.Stream) bool { return strings.HasPrefix(s.Name, *without) })
	}
	policies := route.Names()
	if *policy != "" {
		policies = []string{*policy}
	}
	if err := printReplays(stdout, f, policies); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFault
	}
	return exitOK
}

func printReplays(w io.Writer, f *replayFile, policies []string) error {
	const gap = 2
	tw := tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)
	_, _ = fmt.Fprintln(tw, "POLICY\tSTREAM\tASKED\tRIGHT\tREFUSED\tHIT-RATE\tOF-BEST\tHELD-ELSEWHERE\tTTFT-P50\tTTFT-P95\tTTFT-P99\tIN-TIME\tBUSY")
	for _, policy := range policies {
		f.Site.Policy = policy
		requests := f.Requests()
		result, err := replay.Run(f.Site, requests)
		if err != nil {
			return err
		}
		s := report.Summarize(policy, &f.Workload, requests, f.Site.WarmUp, drive.Result{Samples: result.Samples})
		cachedElsewhere := 100 * float64(result.CachedElsewhere) / max(1, float64(result.Computed))
		for _, l := range s.Streams {
			_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%.1f%%\t%.1f%%\t%.1f%%\t%s\t%s\t%s\t%d\t%.0f%%\n", policy, l.Name, l.Requests, l.Correct, l.Rejected,
				100*l.HitRate, 100*s.HitRate/s.BestHitRate, cachedElsewhere, millis(l.FirstToken.P50), millis(l.FirstToken.P95), millis(l.FirstToken.P99), result.InTime[l.Name], 100*result.Busy)
		}
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("print replay: %w", err)
	}
	return nil
}

func millis(micros int64) string {
	return (time.Duration(micros) * time.Microsecond).Round(time.Millisecond).String()
}
