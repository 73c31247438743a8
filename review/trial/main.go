// Command trial runs the cases of the third review. Each starts the project's router as separate
// processes, beside stand-ins of the platform, of engines and of clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is what a case found.
type verdict struct {
	broken  bool
	summary string
}

var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"piece":   runPiece,
	"revoked": runRevoked,
	"leave":   runLeave,
	"heads":   runHeads,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE ROOT RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, path string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		return exitFailed
	}
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = out.Close() }()
	rec := &record{out: out, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, disruption %v", name, trouble)
	w, err := newWorld(root, rec)
	if err != nil {
		rec.say("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	v, err := cases[name](w, trouble)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	case v.broken:
		rec.say("BROKEN: %s", v.summary)
		fmt.Println("BROKEN:", v.summary)
		return exitBroken
	default:
		rec.say("held: %s", v.summary)
		fmt.Println("held:", v.summary)
		return exitHeld
	}
}
