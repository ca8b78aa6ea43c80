// Command daisyfold-load starts a deployment of the emulator and daemons, drives
// it and judges the result. It is a test tool.
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

// common are the flags of every subcommand.
type common struct {
	Seed     uint64 `long:"seed" default:"1" description:"seed of the workload and of the emulator"`
	Bin      string `long:"bin" default:"bin" description:"directory of the programs"`
	Examples string `long:"examples" default:"examples" description:"directory of the examples"`
	Example  string `long:"example" default:"kerherve" description:"example to run"`
	Keep     string `long:"keep" description:"directory that keeps settings and logs"`
}

func (c common) options() load.Options {
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

type demoCommand struct{ common }

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	return run(func(ctx context.Context) (bool, error) { return load.Demo(ctx, c.options()) })
}

type scenariosCommand struct {
	common
	Name     string `long:"name" description:"run only this scenario"`
	Dir      string `long:"dir" default:"test/scenarios" description:"directory of the scripts"`
	Parallel int    `long:"parallel" default:"2" description:"scenarios that run at once"`
}

// Execute implements flags.Commander.
func (c *scenariosCommand) Execute([]string) error {
	options := load.ScenarioOptions{Options: c.options(), ScriptDir: c.Dir, Name: c.Name, Parallel: c.Parallel}
	return run(func(ctx context.Context) (bool, error) { return load.Scenarios(ctx, options) })
}

type footprintCommand struct {
	common
	Workers       int           `long:"workers" default:"300" description:"workers of the daemon's shard"`
	Tasks         int           `long:"tasks" default:"1500" description:"running tasks on them"`
	Listed        int           `long:"listed" default:"7500" description:"workers in the host list"`
	Zones         int           `long:"zones" default:"13" description:"availability zones"`
	Hosts         int           `long:"hosts" default:"8" description:"entry hosts in each zone"`
	Jobs          int           `long:"jobs" default:"2800" description:"running jobs of other shards"`
	Organisations int           `long:"organisations" default:"76" description:"organisations of the text"`
	ConfigPerDay  int           `long:"config-per-day" default:"5700" description:"configuration changes a day of the deployment"`
	JobsPerDay    int           `long:"jobs-per-day" default:"17000" description:"jobs a day of the deployment"`
	Window        time.Duration `long:"window" default:"30s" description:"length of the measurement"`
}

// Execute implements flags.Commander.
func (c *footprintCommand) Execute([]string) error {
	size := load.FootprintSize{
		Workers: c.Workers, Tasks: c.Tasks, HostListWorkers: c.Listed, Zones: c.Zones, HostsPerZone: c.Hosts, OtherShardJobs: c.Jobs,
		Organisations: c.Organisations, ConfigPerDay: c.ConfigPerDay, JobsPerDay: c.JobsPerDay,
		Window: c.Window,
	}
	return run(func(ctx context.Context) (bool, error) { return load.Footprint(ctx, c.options(), size) })
}

// errBroken is returned when the run ended and broke a promise; its details are
// printed by then.
var errBroken = fmt.Errorf("a promise was broken")

func run(work func(ctx context.Context) (bool, error)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	clean, err := work(ctx)
	if err != nil {
		return err
	}
	if !clean {
		return errBroken
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
