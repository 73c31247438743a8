// Command cicada-stand runs test doubles of the systems that the router talks to.
package main

import (
	"os"

	"cicadastand.dev/stand/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stderr)) }
