// Command probe plays the cases of this review: each starts the project's router as separate
// processes on loopback addresses, with stand-ins of the platform's store, the engines and the
// clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: probe CASE ROOT RECORD")
		os.Exit(exitCantRun)
	}
	cases := map[string]func(*cluster){"stop": stopWhileForwarding, "helper": stopOfHelper, "restore": restoreAndKill, "options": optionsOfServer, "parts": manyParts, "readers": slowReaders, "inplace": restartInPlace}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitCantRun)
	}
	c := newCluster(os.Args[2], os.Args[3])
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		c.note("can't run: stopped before the end")
		c.end(exitCantRun)
	}()
	play(c)
}
