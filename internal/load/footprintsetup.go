package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/emulator"
	"github.com/daisyfold/daisyfold/internal/judge"
	"github.com/daisyfold/daisyfold/internal/membership"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
)

const (
	footprintGangTasks      = 15
	footprintRunMS          = 600_000
	footprintTargetsPerZone = 4
)

// linkPeers is the name of the link to the peers, whose bytes are counted by the peers. The
// bytes of the other links come from the daemon's metrics.
const linkPeers = "peers"

var linkNames = []string{"worker", "log", "hostlist", linkPeers}

// footprintSetup is the daemon to measure, the emulator and the other entry hosts.
type footprintSetup struct {
	options    Options
	size       FootprintSize
	cluster    *Cluster
	peers      *simulatedPeers
	otherHosts *otherHosts
	caller     *apiCaller
}

func (s *footprintSetup) daemon() *process { return s.cluster.hosts[0].currentProcess() }

func (s *footprintSetup) stop() {
	if s.peers != nil {
		s.peers.close()
	}
	s.cluster.Stop()
}

// zoneName returns the name of zone i; the daemon is in zone 0.
func zoneName(i int) model.Zone { return model.Zone(fmt.Sprintf("zone-%02d", i)) }

// footprintHosts returns the entry hosts of the deployment. The first one, the daemon's, is
// the planner of the first shard of its zone.
func footprintHosts(size FootprintSize) []hostlist.EntryHost {
	var list []hostlist.EntryHost
	for z := range size.Zones {
		for i := range size.HostsPerZone {
			id := model.HostID(fmt.Sprintf("%s-host-%d", zoneName(z), i))
			list = append(list, hostlist.EntryHost{ID: id, Zone: zoneName(z)})
		}
	}
	var candidates []model.HostID
	for _, h := range list[:size.HostsPerZone] {
		candidates = append(candidates, h.ID)
	}
	planner, _ := membership.RendezvousOwner(model.ShardID{Zone: zoneName(0)}, candidates)
	for i := range candidates {
		if candidates[i] == planner {
			list[0], list[i] = list[i], list[0]
		}
	}
	return list
}

// footprintDeployment returns an emulator deployment whose first zone is the daemon's shard.
// The other workers are spread over the other zones.
func footprintDeployment(size FootprintSize, hosts []hostlist.EntryHost) emulator.Deployment {
	d := emulator.Default()
	d.Hosts = hosts
	for z := range size.Zones {
		workers := size.Workers
		if z > 0 {
			workers = max(0, size.HostListWorkers-size.Workers) / (size.Zones - 1)
		}
		d.Zones = append(d.Zones, emulator.Zone{
			Name: zoneName(z), Workers: workers,
			Targets: []emulator.TargetGroup{{Service: footprintRequestService, Count: footprintTargetsPerZone}},
		})
	}
	return d
}

// startFootprint starts the emulator, the peers and the daemon and waits until the daemon is
// ready. On error it returns what it has started, unless that is nothing.
func startFootprint(ctx context.Context, o Options, size FootprintSize, dir string) (*footprintSetup, error) {
	hosts := footprintHosts(size)
	file := filepath.Join(dir, "emulator.json")
	data, err := json.Marshal(footprintDeployment(size, hosts))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	s := &footprintSetup{options: o, size: size}
	s.cluster = &Cluster{binDir: o.BinDir, workDir: dir, httpClient: &http.Client{Timeout: controlTimeout}}
	if err := s.cluster.startEmulator(ctx, ClusterOptions{BinDir: o.BinDir, WorkDir: dir, DeploymentFile: file, Seed: o.Seed}); err != nil {
		return s, trace.Wrap(err)
	}
	s.otherHosts, err = newOtherHosts(ctx, s.cluster.emulatorURL, size)
	if err != nil {
		return s, trace.Wrap(err)
	}
	return s, trace.Wrap(s.startPeersAndDaemon(ctx, hosts))
}

// startPeersAndDaemon starts the peers and the daemon and waits until the daemon is ready.
func (s *footprintSetup) startPeersAndDaemon(ctx context.Context, hosts []hostlist.EntryHost) error {
	addresses, err := freeAddresses(1 + len(hosts))
	if err != nil {
		return trace.Wrap(err)
	}
	daemon := &host{
		id: hosts[0].ID, zone: hosts[0].Zone, apiAddress: addresses[0], peerAddress: addresses[1],
		settingsPath: filepath.Join(s.cluster.workDir, "daemon.jsonc"), logPath: filepath.Join(s.cluster.workDir, "daemon.log"),
	}
	s.cluster.hosts = []*host{daemon}
	settings, err := s.cluster.daemonSettingsFor(daemon)
	if err != nil {
		return trace.Wrap(err)
	}
	var all []membership.Peer
	for i, h := range hosts {
		address := "http://" + addresses[1+i]
		all = append(all, membership.Peer{Host: h.ID, Zone: h.Zone, Address: address})
		if i > 0 {
			settings.Peers = append(settings.Peers, peerSettings{Host: h.ID, Zone: h.Zone, Address: address})
		}
	}
	if err := settings.write(daemon.settingsPath); err != nil {
		return trace.Wrap(err)
	}
	s.peers, err = startPeers(ctx, all)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.cluster.StartHost(ctx, daemon.id); err != nil {
		return trace.Wrap(err)
	}
	s.caller = newAPICaller(s.cluster)
	return trace.Wrap(s.cluster.AwaitReady(ctx))
}

// submitJobs submits the jobs of the daemon's shard concurrently: the share of the append
// rate of one host is below three a second, and jobs that wait together share an append.
func (s *footprintSetup) submitJobs(ctx context.Context) error {
	var group errgroup.Group
	for first := 0; first < s.size.Tasks; first += footprintGangTasks {
		group.Go(func() error { return s.submitJob(ctx, first) })
	}
	return trace.Wrap(group.Wait())
}

// submitJob submits the job of up to footprintGangTasks tasks from number first on.
func (s *footprintSetup) submitJob(ctx context.Context, first int) error {
	org := footprintOrganisation(first / footprintGangTasks % s.size.Organisations)
	job := plannedJob{organisation: org, request: api.JobRequest{
		ID:           api.NewOptString(fmt.Sprintf("own-%05d", first)),
		Service:      footprintJobService,
		Tasks:        min(footprintGangTasks, s.size.Tasks-first),
		Accelerators: api.NewOptInt(1), Cpus: api.NewOptInt(8), MemoryMB: api.NewOptInt(4096),
		Within: api.NewOptLevel(api.LevelZone), Zone: api.NewOptString(string(zoneName(0))),
		DeclaredSeconds: api.NewOptFloat64(footprintRunMS / 1000),
		Payload:         api.NewOptString(jobPayload(footprintRunMS)),
	}}
	if reply, errText := s.caller.submitJob(ctx, job); reply != judge.ReplyAccepted {
		return trace.Errorf("a job was not accepted: %s %s", reply, errText)
	}
	return nil
}

// countTasks returns the numbers of running tasks, of workers with a running task and of
// ended tasks.
func (s *footprintSetup) countTasks(ctx context.Context) (tasks, workers, ended int, err error) {
	l, err := s.cluster.Ledger(ctx)
	if err != nil {
		return 0, 0, 0, trace.Wrap(err)
	}
	busyWorkers := map[model.WorkerID]bool{}
	for _, t := range l.Tasks {
		if t.EndUnixMS == 0 {
			tasks++
			busyWorkers[t.Worker] = true
		}
	}
	return tasks, len(busyWorkers), len(l.Tasks) - tasks, nil
}

// awaitTasks waits until all tasks run.
func (s *footprintSetup) awaitTasks(ctx context.Context) error {
	return s.cluster.await(ctx, "the tasks", func() (bool, string) {
		tasks, workers, _, err := s.countTasks(ctx)
		return err == nil && tasks == s.size.Tasks, fmt.Sprintf("%d tasks on %d workers, %v", tasks, workers, err)
	})
}

// checkTasksRunning returns an error unless all tasks still run. Tasks end if the daemon does
// not renew the leases of their workers.
func (s *footprintSetup) checkTasksRunning(ctx context.Context) error {
	tasks, workers, ended, err := s.countTasks(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	logProgress(s.options, s.otherHosts.begin, "%d tasks run on %d workers, %d ended", tasks, workers, ended)
	if tasks != s.size.Tasks {
		return trace.Errorf("%d tasks run at the end of the measurement, want %d", tasks, s.size.Tasks)
	}
	return nil
}

// linkBytes returns the bytes that the daemon has sent and received, by link name.
func (s *footprintSetup) linkBytes(ctx context.Context) (map[string]int64, error) {
	_, body, err := s.cluster.get(ctx, "http://"+s.cluster.hosts[0].apiAddress+"/metrics")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	sums := map[string]int64{}
	for line := range strings.Lines(body) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		for _, link := range linkNames {
			if !strings.HasPrefix(name, "daisyfold_"+link+"_bytes_") {
				continue
			}
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return nil, trace.Wrap(err)
			}
			sums[link] += int64(n)
		}
	}
	sums[linkPeers] = s.peers.transferredBytes.Load()
	return sums, nil
}
