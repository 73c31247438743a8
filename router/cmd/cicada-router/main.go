// Command cicada-router accepts requests from callers and routes them to endpoints.
package main

import (
	"os"

	"cicadastand.dev/router/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
