// Command cicada-router is the process of an entry host: it takes requests from
// callers and routes them to the endpoints.
package main

import (
	"os"

	"cicadastand.dev/router/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
