// Command daisyfold-bench prints one line for each measured figure: its name, value,
// unit, baseline name and baseline value, separated by tabs.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/daisyfold/daisyfold/internal/bench"
)

type options struct {
	Seed int64 `long:"seed" default:"1" description:"seed of the random numbers"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	for _, f := range bench.RunAll(o.Seed) {
		fmt.Printf("%s\t%.4g\t%s\t%s\t%.4g\n", f.Name, f.Value, f.Unit, f.BaselineName, f.BaselineValue)
	}
}
