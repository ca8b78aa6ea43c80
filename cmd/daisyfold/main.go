// Command daisyfold is the command-line tool of callers and operators.
package main

import (
	"os"

	"github.com/daisyfold/daisyfold/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
