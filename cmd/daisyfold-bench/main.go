// Command daisyfold-bench runs the benchmarks and prints one line for each result: its
// name, value, unit, baseline name and baseline value, separated by tabs.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/daisyfold/daisyfold/internal/bench"
)

type options struct {
	Seed int64 `long:"seed" default:"1" description:"seed of the random number generator"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	for _, result := range bench.RunAll(o.Seed) {
		fmt.Printf("%s\t%.4g\t%s\t%s\t%.4g\n", result.Name, result.Value, result.Unit, result.BaselineName, result.BaselineValue)
	}
}
