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
	footprintGang   = 15
	footprintRunMS  = 600_000
	footprintTarget = 4 // targets in each zone
)

// linkPeers is the link to the peers, counted at their end. The others are the
// daemon's own counters.
const linkPeers = "peers"

var linkNames = []string{"worker", "log", "hostlist", linkPeers}

// footprintSetup is one daemon, the emulator and the rest of the deployment.
type footprintSetup struct {
	options Options
	size    FootprintSize
	cluster *Cluster
	peers   *peerSet
	others  *others
	callers *callers
}

func (s *footprintSetup) daemon() *process { return s.cluster.hosts[0].current() }

func (s *footprintSetup) stop() {
	if s.peers != nil {
		s.peers.close()
	}
	s.cluster.Stop()
}

// zoneName returns the name of zone i; the daemon's is zone 0.
func zoneName(i int) model.Zone { return model.Zone(fmt.Sprintf("zone-%02d", i)) }

// footprintHosts lists the entry hosts of the deployment. The first one, the
// daemon's, is the planner of its zone's first shard.
func footprintHosts(size FootprintSize) []hostlist.EntryHost {
	var list []hostlist.EntryHost
	for z := range size.Zones {
		for i := range size.Hosts {
			id := model.HostID(fmt.Sprintf("%s-host-%d", zoneName(z), i))
			list = append(list, hostlist.EntryHost{ID: id, Zone: zoneName(z)})
		}
	}
	var own []model.HostID
	for _, h := range list[:size.Hosts] {
		own = append(own, h.ID)
	}
	planner, _ := membership.RendezvousOwner(model.ShardID{Zone: zoneName(0)}, own)
	for i := range own {
		if own[i] == planner {
			list[0], list[i] = list[i], list[0]
		}
	}
	return list
}

// footprintDeployment has the daemon's shard as its first zone and spreads the other
// workers over the rest.
func footprintDeployment(size FootprintSize, hosts []hostlist.EntryHost) emulator.Deployment {
	d := emulator.Default()
	d.Hosts = hosts
	for z := range size.Zones {
		workers := size.Workers
		if z > 0 {
			workers = max(0, size.Listed-size.Workers) / (size.Zones - 1)
		}
		d.Zones = append(d.Zones, emulator.Zone{
			Name: zoneName(z), Workers: workers,
			Targets: []emulator.TargetGroup{{Service: footprintRequests, Count: footprintTarget}},
		})
	}
	return d
}

// startFootprint starts everything and waits until the daemon is ready. It returns
// what it started also with an error.
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
	s.cluster = &Cluster{bin: o.Bin, dir: dir, http: &http.Client{Timeout: controlLimit}}
	if err := s.cluster.startEmulator(ctx, ClusterOptions{Bin: o.Bin, Dir: dir, Deployment: file, Seed: o.Seed}); err != nil {
		return s, trace.Wrap(err)
	}
	s.others, err = newOthers(ctx, s.cluster.base, size)
	if err != nil {
		return s, trace.Wrap(err)
	}
	return s, trace.Wrap(s.startDaemon(ctx, hosts))
}

// startDaemon starts the peers and the daemon.
func (s *footprintSetup) startDaemon(ctx context.Context, hosts []hostlist.EntryHost) error {
	addresses, err := freeAddresses(1 + len(hosts))
	if err != nil {
		return trace.Wrap(err)
	}
	own := &host{
		id: hosts[0].ID, zone: hosts[0].Zone, api: addresses[0], peer: addresses[1],
		settings: filepath.Join(s.cluster.dir, "daemon.jsonc"), logPath: filepath.Join(s.cluster.dir, "daemon.log"),
	}
	s.cluster.hosts = []*host{own}
	settings, err := s.cluster.settingsOf(own)
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
	if err := settings.write(own.settings); err != nil {
		return trace.Wrap(err)
	}
	s.peers, err = startPeers(ctx, all)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.cluster.StartHost(ctx, own.id); err != nil {
		return trace.Wrap(err)
	}
	s.callers = newCallers(s.cluster)
	return trace.Wrap(s.cluster.AwaitReady(ctx))
}

// submit submits the jobs of the own shard at the same time: a host's share of the
// append rate is below three a second, and jobs that wait together share an append.
func (s *footprintSetup) submit(ctx context.Context) error {
	var all errgroup.Group
	for first := 0; first < s.size.Tasks; first += footprintGang {
		all.Go(func() error { return s.submitOne(ctx, first) })
	}
	return trace.Wrap(all.Wait())
}

// submitOne submits the job of the tasks from number first on.
func (s *footprintSetup) submitOne(ctx context.Context, first int) error {
	org := footprintOrg(first / footprintGang % s.size.Organisations)
	job := plannedJob{organisation: org, request: api.JobRequest{
		ID:           api.NewOptString(fmt.Sprintf("own-%05d", first)),
		Service:      footprintJobs,
		Tasks:        min(footprintGang, s.size.Tasks-first),
		Accelerators: api.NewOptInt(1), Cpus: api.NewOptInt(8), MemoryMB: api.NewOptInt(4096),
		Within: api.NewOptLevel(api.LevelZone), Zone: api.NewOptString(string(zoneName(0))),
		DeclaredSeconds: api.NewOptFloat64(footprintRunMS / 1000),
		Payload:         api.NewOptString(payload(footprintRunMS)),
	}}
	if reply, cause := s.callers.submit(ctx, job); reply != judge.ReplyAccepted {
		return trace.Errorf("a job was not accepted: %s %s", reply, cause)
	}
	return nil
}

// running counts the tasks that run, the workers that run one, and the tasks that
// ended.
func (s *footprintSetup) running(ctx context.Context) (tasks, workers, ended int, err error) {
	l, err := s.cluster.Ledger(ctx)
	if err != nil {
		return 0, 0, 0, trace.Wrap(err)
	}
	on := map[model.WorkerID]bool{}
	for _, t := range l.Tasks {
		if t.EndUnixMS == 0 {
			tasks++
			on[t.Worker] = true
		}
	}
	return tasks, len(on), len(l.Tasks) - tasks, nil
}

func (s *footprintSetup) awaitTasks(ctx context.Context) error {
	return s.cluster.await(ctx, "the tasks", func() (bool, string) {
		tasks, workers, _, err := s.running(ctx)
		return err == nil && tasks == s.size.Tasks, fmt.Sprintf("%d tasks on %d workers, %v", tasks, workers, err)
	})
}

// checkReached reports a run whose tasks ended within the window, or whose leases
// the daemon did not hold.
func (s *footprintSetup) checkReached(ctx context.Context) error {
	tasks, workers, ended, err := s.running(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	progress(s.options, s.others.begin, "%d tasks run on %d workers, %d ended", tasks, workers, ended)
	if tasks != s.size.Tasks {
		return trace.Errorf("%d tasks run at the end, not %d", tasks, s.size.Tasks)
	}
	return nil
}

// linkBytes reads the daemon's byte counters by link.
func (s *footprintSetup) linkBytes(ctx context.Context) (map[string]int64, error) {
	_, body, err := s.cluster.get(ctx, "http://"+s.cluster.hosts[0].api+"/metrics")
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
	sums[linkPeers] = s.peers.bytes.Load()
	return sums, nil
}
