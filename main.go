// Command magnolialever serves many models to many customers from fewer
// accelerators.
package main

import (
	"os"

	"github.com/magnolialever/magnolialever/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
