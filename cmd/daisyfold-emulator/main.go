// Command daisyfold-emulator emulates the platform for tests: workers, targets, the log
// service and the host list.
package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/daisyfold/daisyfold/internal/emulator"
	"github.com/daisyfold/daisyfold/internal/model"
)

// options holds the command-line flags. The flags zone, workers, targets and service
// describe a deployment without a deployment file.
type options struct {
	Listen         string   `long:"listen" default:"127.0.0.1:7000" description:"address of the platform's API"`
	Deployment     string   `long:"deployment" description:"deployment file, JSON with comments"`
	Zones          []string `long:"zone" description:"availability zone, repeatable (without --deployment)"`
	Workers        int      `long:"workers" default:"12" description:"workers in each zone (without --deployment)"`
	WorkersPerZone int      `long:"workers-per-zone" description:"workers in each zone, overrides the deployment file"`
	Targets        int      `long:"targets" default:"6" description:"targets in each zone (without --deployment)"`
	Services       []string `long:"service" default:"exchange" default:"orders" description:"service of the targets, repeatable; targets are assigned to services in turn (without --deployment)"`
	OnePort        bool     `long:"one-port" description:"serve all targets at the listen address without a connection limit, overrides the deployment file"`
	Retention      int64    `long:"retention" description:"seconds for which the log keeps records, overrides the deployment file"`
	Seed           uint64   `long:"seed" default:"1" description:"seed of the service times"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "daisyfold-emulator:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	d, err := newDeployment(o)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return emulator.Serve(ctx, d, listener)
}

// newDeployment returns the deployment that the flags describe.
func newDeployment(o options) (emulator.Deployment, error) {
	if o.Deployment != "" {
		d, err := emulator.Load(o.Deployment)
		d.Seed = o.Seed
		for i := range d.Zones {
			d.Zones[i].Workers = cmp.Or(o.WorkersPerZone, d.Zones[i].Workers)
		}
		d.TargetPorts = d.TargetPorts && !o.OnePort
		d.Log.RetentionSeconds = cmp.Or(o.Retention, d.Log.RetentionSeconds)
		return d, err
	}
	d := emulator.Default()
	d.Seed = o.Seed
	for _, name := range o.Zones {
		d.Zones = append(d.Zones, emulator.Zone{
			Name:    model.Zone(name),
			Workers: o.Workers,
			Targets: targetGroups(o),
		})
	}
	return d, nil
}

// targetGroups distributes the targets of a zone over the services in turn.
func targetGroups(o options) []emulator.TargetGroup {
	groups := make([]emulator.TargetGroup, len(o.Services))
	for i, name := range o.Services {
		groups[i].Service = model.Service(name)
	}
	for i := range o.Targets {
		groups[i%len(groups)].Count++
	}
	return groups
}
