// Command clementineweir runs the instances of the router fleet and holds the tools of its operators.
package main

import (
	"os"

	"github.com/clementineweir/clementineweir/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args))
}
