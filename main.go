// Package main starts the command line.
package main

import (
	"os"

	"github.com/vanillaroute/vanillaroute/cmd"
)

func main() {
	cmd.Execute(os.Exit, os.Args[1:])
}
