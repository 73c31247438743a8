// Package cli implements the command line of cicada-load.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"cicadastand.dev/core/state/clock"
	"cicadastand.dev/loads/drive"
	"cicadastand.dev/loads/plan"
	"cicadastand.dev/loads/report"
)

// The exit codes of the program.
const (
	exitOK    = 0
	exitFault = 1
	exitUsage = 2
	// exitCheckFailed means that a response was wrong, or that the executions of an
	// order don't match the responses.
	exitCheckFailed = 3
)

const usageText = `usage: cicada-load run [flags]
       cicada-load replay [flags]
       cicada-load compare SUMMARY...
`

// Run runs the command given in args and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "run" {
		return run(args[1:], stdout, stderr)
	}
	if len(args) > 0 && args[0] == "replay" {
		return replayAll(args[1:], stdout, stderr)
	}
	if len(args) > 1 && args[0] == "compare" {
		return compare(args[1:], stdout, stderr)
	}
	_, _ = io.WriteString(stderr, usageText)
	return exitUsage
}

func run(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("run", flag.ContinueOnError)
	fs.SetOutput(stderr)
	path := fs.String("workload", "workload.yaml", "file that describes the workload")
	folder := fs.String("report", "", "folder for the report")
	label := fs.String("label", "run", "name of the run in reports")
	seed := fs.Uint64("seed", 0, "seed instead of the workload's")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	w, err := plan.Load(*path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if *seed != 0 {
		w.Seed = *seed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	summary, err := execute(ctx, w, *label, *folder)
	if err == nil {
		err = summary.Print(stdout)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFault
	}
	if !summary.Passed() {
		return exitCheckFailed
	}
	return exitOK
}

func execute(ctx context.Context, w *plan.Workload, label, folder string) (report.Summary, error) {
	requests := w.Requests()
	result, err := drive.New(clock.New(), w).Run(ctx, requests)
	if err != nil {
		return report.Summary{}, err
	}
	summary := report.Summarize(label, w, requests, 0, result)
	if folder == "" {
		return summary, nil
	}
	return summary, summary.Write(folder, result.Samples)
}

func compare(paths []string, stdout, stderr io.Writer) int {
	if err := report.Compare(stdout, paths); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFault
	}
	return exitOK
}
