// Command mutant runs mutation tests. For each mutant of a list, it disables one
// mechanism in a copy of the source tree, runs the test that covers the mechanism, and
// expects that test to fail.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"cicadastand.dev/core/trans/setup"
)

// list is the content of the file that lists the mutants.
type list struct {
	Mutants []mutant `yaml:"mutants"`
}

// mutant is a change of the source that disables one mechanism.
type mutant struct {
	// Name says what the mutant disables.
	Name string `yaml:"name"`
	// File is the source file in which Old is replaced by New. Old must occur in it
	// exactly once.
	File string `yaml:"file"`
	Old  string `yaml:"old"`
	New  string `yaml:"new"`
	// Module and Test are the module and the name of the test that must fail.
	Module string `yaml:"module"`
	Test   string `yaml:"test"`
	// Package is the path of the test's package within the module.
	Package string `yaml:"package"`
}

// Validate checks that every mutant has all required fields.
func (l *list) Validate() error {
	for i, m := range l.Mutants {
		if m.Name == "" || m.File == "" || m.Old == "" || m.Module == "" || m.Test == "" {
			return fmt.Errorf("mutants[%d]: name, file, old, module and test must be given", i)
		}
	}
	return nil
}

const testTimeout = 5 * time.Minute

func main() {
	path := flag.String("list", "suite/mutants.yaml", "file that describes the mutants")
	only := flag.String("only", "", "run only mutants whose name holds this text")
	flag.Parse()
	if err := run(*path, *only); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path, only string) error {
	var l list
	if err := setup.Load(path, &l); err != nil {
		return err
	}
	base, err := os.MkdirTemp("", "mutant-base")
	if err != nil {
		return fmt.Errorf("copy source tree: %w", err)
	}
	defer func() { _ = os.RemoveAll(base) }()
	if err := copyTree(base); err != nil {
		return err
	}
	survivors := 0
	for _, m := range l.Mutants {
		if !strings.Contains(m.Name, only) {
			continue
		}
		caught, err := isCaught(base, m)
		if err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
		verdict := "caught"
		if !caught {
			verdict = "SURVIVED"
			survivors++
		}
		fmt.Printf("%-9s %s (%s)\n", verdict, m.Name, m.Test)
	}
	if survivors > 0 {
		return fmt.Errorf("%d mutants survived", survivors)
	}
	return nil
}

// isCaught applies a mutant to a copy of base and reports whether its test fails. An
// error means that the mutant doesn't compile or that the test can't be run.
func isCaught(base string, m mutant) (bool, error) {
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return false, fmt.Errorf("copy source tree: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := os.CopyFS(dir, os.DirFS(base)); err != nil {
		return false, fmt.Errorf("copy source tree: %w", err)
	}
	if err := mutate(filepath.Join(dir, m.File), m.Old, m.New); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	pkg := "./" + m.Package
	if err := goCommand(ctx, filepath.Join(dir, m.Module), "vet", pkg); err != nil {
		return false, fmt.Errorf("mutant does not compile: %w", err)
	}
	err = goCommand(ctx, filepath.Join(dir, m.Module), "test", "-count=1", "-run", m.Test, pkg)
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		return false, err
	}
	return err != nil, nil
}

// copyTree copies the modules and workspace files to dir, without built programs.
func copyTree(dir string) error {
	for _, module := range []string{"core", "platform", "router", "opctl", "stand", "loads", "suite"} {
		if err := os.CopyFS(filepath.Join(dir, module), os.DirFS(module)); err != nil {
			return fmt.Errorf("copy source tree: %w", err)
		}
	}
	files, err := filepath.Glob("go.work*")
	if err != nil {
		return fmt.Errorf("find workspace: %w", err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read workspace: %w", err)
		}
		if err := os.WriteFile(filepath.Join(dir, file), raw, 0o600); err != nil {
			return fmt.Errorf("write workspace: %w", err)
		}
	}
	return nil
}

func mutate(path, before, after string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	if strings.Count(string(raw), before) != 1 {
		return fmt.Errorf("%s contains the text to replace %d times instead of once", path, strings.Count(string(raw), before))
	}
	text := strings.Replace(string(raw), before, after, 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	return nil
}

func goCommand(ctx context.Context, dir string, args ...string) error {
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("go %s: %w: %.2000s", strings.Join(args, " "), err, out)
	}
	return nil
}
