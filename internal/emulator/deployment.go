// Package emulator is a stand-in for the platform: workers, targets, the log
// service and the host list, with fault injection and a ledger of what ran. It is
// a test tool and no part of the product. It reads the time from package time
// only, so that tests run it in virtual time under testing/synctest.
package emulator

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// Deployment describes the platform to stand in for.
type Deployment struct {
	Zones  []Zone     `json:"zones"`
	Worker WorkerKind `json:"worker"`
	Target TargetKind `json:"target"`
	Log    LogLimits  `json:"log"`
	// HostListLagMS is how long a change takes to show in the host list.
	HostListLagMS int64 `json:"hostListLagMS"`
	// UsageLagMS is how long after its start a task's usage is reported.
	UsageLagMS int64                `json:"usageLagMS"`
	Hosts      []hostlist.EntryHost `json:"hosts,omitempty"`
	// TargetPorts gives each target a port of its own, where its limit of
	// connections applies.
	TargetPorts bool `json:"targetPorts,omitempty"`
	// Seed drives the service times of targets.
	Seed uint64 `json:"seed,omitempty"`
}

// Zone is one availability zone.
type Zone struct {
	Name    model.Zone     `json:"name"`
	Workers int            `json:"workers"`
	Targets []TargetsGroup `json:"targets"`
}

// TargetsGroup is Count targets of one service.
type TargetsGroup struct {
	Service model.Service `json:"service"`
	Count   int           `json:"count"`
}

// WorkerKind describes every worker.
type WorkerKind struct {
	Capacity model.Resources `json:"capacity"`
	PerRack  int             `json:"perRack"`
}

// TargetKind describes every target. Service times are log-normal with the given
// median; Spread is the standard deviation of their logarithm.
type TargetKind struct {
	Slots       int     `json:"slots"`
	Connections int     `json:"connections"`
	MedianMS    float64 `json:"medianMS"`
	Spread      float64 `json:"spread"`
}

// LogLimits are the limits of the log service.
type LogLimits struct {
	AppendsPerSecond float64 `json:"appendsPerSecond"`
	RetentionSeconds int64   `json:"retentionSeconds"`
	RetentionRecords int     `json:"retentionRecords"`
}

// Default sizes are those of today's deployments (design page, section 2.3).
const (
	defaultPerRack          = 6
	defaultSlots            = 8
	defaultConnections      = 64
	defaultMedianMS         = 20
	defaultSpread           = 0.5
	defaultAppends          = 500
	defaultRetentionSeconds = 3600
	defaultRetentionRecords = 200_000
	defaultLag              = time.Second
	defaultUsageLag         = 5 * time.Second
)

// Default returns a deployment without zones whose kinds have the default sizes.
func Default() Deployment {
	return Deployment{
		Worker: WorkerKind{
			Capacity: model.Resources{CPUs: 128, MemoryMB: 512 << 10, Accelerators: 8},
			PerRack:  defaultPerRack,
		},
		Target: TargetKind{
			Slots:       defaultSlots,
			Connections: defaultConnections,
			MedianMS:    defaultMedianMS,
			Spread:      defaultSpread,
		},
		Log: LogLimits{
			AppendsPerSecond: defaultAppends,
			RetentionSeconds: defaultRetentionSeconds,
			RetentionRecords: defaultRetentionRecords,
		},
		HostListLagMS: defaultLag.Milliseconds(),
		UsageLagMS:    defaultUsageLag.Milliseconds(),
	}
}

// Load reads a deployment file, JSON with comments, over the default sizes.
func Load(path string) (Deployment, error) {
	d := Default()
	data, err := os.ReadFile(path)
	if err != nil {
		return d, trace.ConvertSystemError(err)
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return d, trace.BadParameter("%s: %v", path, err)
	}
	if err := json.Unmarshal(standard, &d); err != nil {
		return d, trace.BadParameter("%s: %v", path, err)
	}
	return d, nil
}

// workers lists the workers of the deployment at the given base URL.
func (d *Deployment) workers(base string) []model.Worker {
	var list []model.Worker
	for _, z := range d.Zones {
		for i := range z.Workers {
			rack := fmt.Sprintf("%s-r%d", z.Name, i/d.Worker.PerRack+1)
			id := model.WorkerID(fmt.Sprintf("%s-w%d", rack, i%d.Worker.PerRack+1))
			list = append(list, model.Worker{
				ID:       id,
				Zone:     z.Name,
				Rack:     rack,
				Address:  base + workersPath + string(id),
				Capacity: d.Worker.Capacity,
				Health:   model.WorkerHealthy,
			})
		}
	}
	return list
}

// targets lists the targets of the deployment at the given base URL.
func (d *Deployment) targets(base string) []model.Target {
	var list []model.Target
	for _, z := range d.Zones {
		for _, group := range z.Targets {
			for i := range group.Count {
				id := model.TargetID(fmt.Sprintf("%s-%s-%d", group.Service, z.Name, i+1))
				list = append(list, model.Target{
					ID:             id,
					Service:        group.Service,
					Zone:           z.Name,
					Address:        base + targetsPath + string(id),
					Slots:          d.Target.Slots,
					MaxConnections: d.Target.Connections,
				})
			}
		}
	}
	return list
}
