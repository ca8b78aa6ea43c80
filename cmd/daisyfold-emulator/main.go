// Command daisyfold-emulator stands in for the platform: workers, targets, the log
// service and the host list. It is a test tool.
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

// options are the flags. The zone flags describe a deployment without a file.
type options struct {
	Listen     string   `long:"listen" default:"127.0.0.1:7000" description:"address of the platform's API"`
	Deployment string   `long:"deployment" description:"deployment file, JSON with comments"`
	Zones      []string `long:"zone" description:"availability zone, repeatable (without --deployment)"`
	Workers    int      `long:"workers" default:"12" description:"workers in each zone (without --deployment)"`
	PerZone    int      `long:"workers-per-zone" description:"workers in each zone, whatever the file says"`
	Targets    int      `long:"targets" default:"6" description:"targets in each zone (without --deployment)"`
	Services   []string `long:"service" default:"exchange" default:"orders" description:"services of the targets, in turn (without --deployment)"`
	OnePort    bool     `long:"one-port" description:"serve all targets at the listen address, whatever the file says; no limit of connections applies"`
	Retention  int64    `long:"retention" description:"seconds that the log keeps records, whatever the file says"`
	Seed       uint64   `long:"seed" default:"1" description:"seed of the service times"`
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
	d, err := deployment(o)
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

func deployment(o options) (emulator.Deployment, error) {
	if o.Deployment != "" {
		d, err := emulator.Load(o.Deployment)
		d.Seed = o.Seed
		for i := range d.Zones {
			d.Zones[i].Workers = cmp.Or(o.PerZone, d.Zones[i].Workers)
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
			Targets: groups(o),
		})
	}
	return d, nil
}

// groups spreads the targets of a zone over the services in turn.
func groups(o options) []emulator.TargetGroup {
	list := make([]emulator.TargetGroup, len(o.Services))
	for i, name := range o.Services {
		list[i].Service = model.Service(name)
	}
	for i := range o.Targets {
		list[i%len(list)].Count++
	}
	return list
}
