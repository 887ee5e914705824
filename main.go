// Command vanillaroute runs routers and entry instances and the tools of their operators.
package main

import (
	"os"

	"github.com/vanillaroute/vanillaroute/cmd"
)

func main() {
	cmd.Execute(os.Exit, os.Args[1:])
}
