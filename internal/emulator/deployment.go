// Package emulator emulates the platform for tests: workers, targets, the log service
// and the host list, with fault injection and a ledger of the tasks and requests that
// ran. It is not part of the daemon. It takes the time only from package time, so that
// tests can run it in virtual time under testing/synctest.
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

// Deployment describes the platform to emulate.
type Deployment struct {
	Zones  []Zone     `json:"zones"`
	Worker WorkerSpec `json:"worker"`
	Target TargetSpec `json:"target"`
	Log    LogLimits  `json:"log"`
	// HostListLagMS is the delay with which a change appears in the host list.
	HostListLagMS int64 `json:"hostListLagMS"`
	// UsageLagMS is the delay after the start of a task until its usage is reported.
	UsageLagMS int64                `json:"usageLagMS"`
	Hosts      []hostlist.EntryHost `json:"hosts,omitempty"`
	// TargetPorts gives each target its own port. The targets' limit on connections
	// applies only there.
	TargetPorts bool `json:"targetPorts,omitempty"`
	// Seed is the seed of the random service times of targets.
	Seed uint64 `json:"seed,omitempty"`
}

// Zone is one availability zone.
type Zone struct {
	Name    model.Zone    `json:"name"`
	Workers int           `json:"workers"`
	Targets []TargetGroup `json:"targets"`
}

// TargetGroup is a group of Count targets of one service.
type TargetGroup struct {
	Service model.Service `json:"service"`
	Count   int           `json:"count"`
}

// WorkerSpec describes each worker.
type WorkerSpec struct {
	Capacity       model.Resources `json:"capacity"`
	WorkersPerRack int             `json:"perRack"`
}

// TargetSpec describes each target. Service times have a log-normal distribution with
// the given median; ServiceTimeSigma is the standard deviation of their natural
// logarithm.
type TargetSpec struct {
	Slots               int     `json:"slots"`
	MaxConnections      int     `json:"connections"`
	ServiceTimeMedianMS float64 `json:"medianMS"`
	ServiceTimeSigma    float64 `json:"spread"`
}

// LogLimits are the limits of the log service. A stream keeps a record until it exceeds
// one of the retentions.
type LogLimits struct {
	AppendsPerSecond float64 `json:"appendsPerSecond"`
	RetentionSeconds int64   `json:"retentionSeconds"`
	RetentionRecords int     `json:"retentionRecords"`
}

// Default values, which are those of present deployments (docs/design.md, section 2.3).
const (
	defaultWorkersPerRack      = 6
	defaultSlots               = 8
	defaultMaxConnections      = 64
	defaultServiceTimeMedianMS = 20
	defaultServiceTimeSigma    = 0.5
	defaultAppendsPerSecond    = 500
	defaultRetentionSeconds    = 3600
	defaultRetentionRecords    = 200_000
	defaultHostListLag         = time.Second
	defaultUsageLag            = 5 * time.Second
)

// Default returns a deployment without zones and with the default values.
func Default() Deployment {
	return Deployment{
		Worker: WorkerSpec{
			Capacity:       model.Resources{CPUs: 128, MemoryMB: 512 << 10, Accelerators: 8},
			WorkersPerRack: defaultWorkersPerRack,
		},
		Target: TargetSpec{
			Slots:               defaultSlots,
			MaxConnections:      defaultMaxConnections,
			ServiceTimeMedianMS: defaultServiceTimeMedianMS,
			ServiceTimeSigma:    defaultServiceTimeSigma,
		},
		Log: LogLimits{
			AppendsPerSecond: defaultAppendsPerSecond,
			RetentionSeconds: defaultRetentionSeconds,
			RetentionRecords: defaultRetentionRecords,
		},
		HostListLagMS: defaultHostListLag.Milliseconds(),
		UsageLagMS:    defaultUsageLag.Milliseconds(),
	}
}

// Load reads a deployment file in JSON with comments. Absent fields keep the default
// values.
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

// workers returns the workers of the deployment, with addresses under baseURL.
func (d *Deployment) workers(baseURL string) []model.Worker {
	var list []model.Worker
	for _, z := range d.Zones {
		for i := range z.Workers {
			rack := fmt.Sprintf("%s-r%d", z.Name, i/d.Worker.WorkersPerRack+1)
			id := model.WorkerID(fmt.Sprintf("%s-w%d", rack, i%d.Worker.WorkersPerRack+1))
			list = append(list, model.Worker{
				ID:       id,
				Zone:     z.Name,
				Rack:     rack,
				Address:  baseURL + workersPath + string(id),
				Capacity: d.Worker.Capacity,
				Health:   model.WorkerHealthy,
			})
		}
	}
	return list
}

// targets returns the targets of the deployment, with addresses under baseURL.
func (d *Deployment) targets(baseURL string) []model.Target {
	var list []model.Target
	for _, z := range d.Zones {
		for _, group := range z.Targets {
			for i := range group.Count {
				id := model.TargetID(fmt.Sprintf("%s-%s-%d", group.Service, z.Name, i+1))
				list = append(list, model.Target{
					ID:             id,
					Service:        group.Service,
					Zone:           z.Name,
					Address:        baseURL + targetsPath + string(id),
					Slots:          d.Target.Slots,
					MaxConnections: d.Target.MaxConnections,
				})
			}
		}
	}
	return list
}
