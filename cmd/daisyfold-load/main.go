// Command daisyfold-load is a test tool. It starts a deployment of the emulator and
// daemons, generates load and checks the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/daisyfold/daisyfold/internal/load"
)

// commonFlags holds the flags of every subcommand.
type commonFlags struct {
	Seed     uint64 `long:"seed" default:"1" description:"seed of the workload and of the emulator"`
	Bin      string `long:"bin" default:"bin" description:"directory of the executables"`
	Examples string `long:"examples" default:"examples" description:"directory of the examples"`
	Example  string `long:"example" default:"kerherve" description:"example to run"`
	Keep     string `long:"keep" description:"directory in which settings and logs are kept"`
}

func (c commonFlags) loadOptions() load.Options {
	return load.Options{
		Seed:        c.Seed,
		BinDir:      c.Bin,
		ExamplesDir: c.Examples,
		Example:     c.Example,
		KeepDir:     c.Keep,
		Stdout:      os.Stdout,
		Stderr:      os.Stderr,
	}
}

type demoCommand struct{ commonFlags }

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	return run(func(ctx context.Context) (bool, error) { return load.Demo(ctx, c.loadOptions()) })
}

type scenariosCommand struct {
	commonFlags
	Name     string `long:"name" description:"run only this scenario"`
	Dir      string `long:"dir" default:"test/scenarios" description:"directory of the scenario scripts"`
	Parallel int    `long:"parallel" default:"2" description:"number of scenarios that run in parallel"`
}

// Execute implements flags.Commander.
func (c *scenariosCommand) Execute([]string) error {
	options := load.ScenarioOptions{Options: c.loadOptions(), ScriptDir: c.Dir, Name: c.Name, Parallel: c.Parallel}
	return run(func(ctx context.Context) (bool, error) { return load.Scenarios(ctx, options) })
}

type footprintCommand struct {
	commonFlags
	Workers       int           `long:"workers" default:"300" description:"workers of the daemon's shard"`
	Tasks         int           `long:"tasks" default:"1500" description:"running tasks on these workers"`
	Listed        int           `long:"listed" default:"7500" description:"workers in the host list"`
	Zones         int           `long:"zones" default:"13" description:"availability zones"`
	Hosts         int           `long:"hosts" default:"8" description:"entry hosts in each zone"`
	Jobs          int           `long:"jobs" default:"2800" description:"running jobs of other shards"`
	Organisations int           `long:"organisations" default:"76" description:"organisations in the configuration"`
	ConfigPerDay  int           `long:"config-per-day" default:"5700" description:"configuration changes per day in the deployment"`
	JobsPerDay    int           `long:"jobs-per-day" default:"17000" description:"jobs per day in the deployment"`
	Window        time.Duration `long:"window" default:"30s" description:"length of the measurement"`
}

// Execute implements flags.Commander.
func (c *footprintCommand) Execute([]string) error {
	size := load.FootprintSize{
		Workers: c.Workers, Tasks: c.Tasks, HostListWorkers: c.Listed, Zones: c.Zones, HostsPerZone: c.Hosts, OtherShardJobs: c.Jobs,
		Organisations: c.Organisations, ConfigPerDay: c.ConfigPerDay, JobsPerDay: c.JobsPerDay,
		Window: c.Window,
	}
	return run(func(ctx context.Context) (bool, error) { return load.Footprint(ctx, c.loadOptions(), size) })
}

// errInvariantViolated is returned when a run completed but violated an invariant of the
// scheduler. The details have been printed before.
var errInvariantViolated = fmt.Errorf("an invariant was violated")

// run calls work with a context that ends at SIGTERM or an interrupt. It returns
// errInvariantViolated if work returns false.
func run(work func(ctx context.Context) (bool, error)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	passed, err := work(ctx)
	if err != nil {
		return err
	}
	if !passed {
		return errInvariantViolated
	}
	return nil
}

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, help string
		data       any
	}{
		{"demo", "run the demo", &demoCommand{}},
		{"footprint", "measure one daemon's CPU, memory and control traffic", &footprintCommand{}},
		{"scenarios", "run the scenarios", &scenariosCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.help, c.help, c.data); err != nil {
			panic(err)
		}
	}
	_, err := parser.Parse()
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "daisyfold-load:", err)
		os.Exit(1)
	}
}
