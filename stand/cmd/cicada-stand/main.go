// Command cicada-stand runs the stand-ins of the systems that the router meets.
package main

import (
	"os"

	"cicadastand.dev/stand/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stderr)) }
