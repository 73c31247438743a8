// Command harness plays the cases of the review: it starts the project's own program as
// separate processes on loopback addresses, with stand-ins of the platform's store, of
// engines and of clients. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(*world) (bool, error){
	"memory":   playMemory,
	"poison":   playPoison,
	"wall":     playWall,
	"taint":    playTaint,
	"subjects": playSubjects,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	// Nothing may run longer than the issue allows.
	time.AfterFunc(112*time.Second, func() {
		w.say("out of time")
		w.close()
		os.Exit(2)
	})
	broken, err := cases[os.Args[1]](w)
	if err != nil {
		w.say("could not run: %v", err)
	} else {
		w.say("the rule was broken: %v", broken)
	}
	w.close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
