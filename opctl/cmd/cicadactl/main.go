// Command cicadactl is the operators' command line.
package main

import (
	"os"

	"cicadastand.dev/opctl/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
