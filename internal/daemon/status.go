package daemon

import (
	"context"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/partition"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

// Status implements apiserver.StatusSource.
func (d *Daemon) Status(context.Context) *api.Status {
	cfg := d.board.Config.Get()
	list := d.board.Hosts.Get()
	out := &api.Status{
		Host: string(d.Settings.Host), Zone: string(d.Settings.Zone),
		Leaving: d.stopping.Load(), LogReachable: d.journal.State().Reachable,
		Zones: []api.ZoneStatus{}, Organisations: []api.OrganisationStatus{}, Hosts: []api.HostStatus{},
	}
	for _, m := range d.board.Members.List() {
		out.Hosts = append(out.Hosts, api.HostStatus{
			Host: string(m.Host), Zone: string(m.Zone), Alive: m.Alive, Leaving: m.Leaving,
		})
	}
	if cfg == nil || list == nil {
		return out
	}
	out.ConfigVersion = cfg.Version
	for i := range cfg.Parsed.AvailabilityZones {
		out.Zones = append(out.Zones, d.zoneStatus(&cfg.Parsed.AvailabilityZones[i], list))
	}
	out.Organisations = d.organisationStatus(cfg)
	for _, f := range d.guarantees.unsatisfiable(cfg) {
		out.Findings = append(out.Findings, f.Message)
	}
	return out
}

func (d *Daemon) zoneStatus(z *config.AvailabilityZone, list *hostlist.List) api.ZoneStatus {
	status := api.ZoneStatus{Zone: string(z.Name), InService: z.InService, Evidence: "not checked by this host"}
	if z.Name == d.Settings.Zone {
		_, status.Evidence = d.evidenceChecker.Check(z.Name)
	}
	total := 0
	for i := range list.Workers {
		if list.Workers[i].Zone == z.Name {
			status.Workers++
			total += list.Workers[i].Capacity.Accelerators
		}
	}
	for i := range list.Targets {
		if list.Targets[i].Zone == z.Name {
			status.Targets++
		}
	}
	used := 0
	for _, shard := range partition.Split(list.Workers) {
		if shard.ID.Zone == z.Name {
			used += totalAccelerators(d.jobTable.ActiveSpecs(shard.ID))
		}
	}
	status.AcceleratorsTotal = api.NewOptInt(total)
	status.AcceleratorsFree = api.NewOptInt(total - used)
	return status
}

// totalAccelerators returns the number of accelerators that the jobs use.
func totalAccelerators(specs []model.JobSpec) int {
	total := 0
	for i := range specs {
		total += specs[i].Accelerators()
	}
	return total
}

func (d *Daemon) organisationStatus(cfg *blackboard.Configuration) []api.OrganisationStatus {
	counts := d.jobTable.CountUnfinished()
	out := make([]api.OrganisationStatus, 0, len(cfg.Parsed.Organisations))
	for _, o := range cfg.Parsed.Organisations {
		c := counts[o.Name]
		guaranteed := 0
		for _, g := range o.Guarantees {
			guaranteed += g.Shapes * g.Shape.Accelerators()
		}
		out = append(out, api.OrganisationStatus{
			Organisation: string(o.Name), GuaranteedAccelerators: guaranteed,
			UsedAccelerators: c.Accelerators, WaitingJobs: c.Waiting, RunningJobs: c.Active,
		})
	}
	return out
}
