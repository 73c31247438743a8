// Command cicada-load sends an open-loop load to routers and checks every response.
package main

import (
	"os"

	"cicadastand.dev/loads/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
