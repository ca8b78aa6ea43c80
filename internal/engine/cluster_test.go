package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/engine"
	"github.com/daisyfold/daisyfold/internal/engine/intake"
	"github.com/daisyfold/daisyfold/internal/engine/manifest"
	"github.com/daisyfold/daisyfold/internal/engine/replica"
	"github.com/daisyfold/daisyfold/internal/engine/scheduler"
	"github.com/daisyfold/daisyfold/internal/engine/store"
	"github.com/daisyfold/daisyfold/internal/engine/work"
	"github.com/daisyfold/daisyfold/internal/engine/workers"
	"github.com/daisyfold/daisyfold/internal/standin"
)

const (
	operatorTopic  = "keyed.op"
	statusTopic    = "keyed.status"
	waveCap        = 2 // machines that a wave may take down at once
	leaseMax       = 6 * time.Second
	heartbeat      = 1500 * time.Millisecond
	settle         = 5 * time.Second // for hosts to elect a scheduler and read everything
	callerPatience = 3 * time.Second
)

// cluster is a deployment in virtual time.
type cluster struct {
	t        *testing.T
	store    *standin.Store
	fleet    *standin.Fleet
	workers  []*standin.Worker
	mu       sync.Mutex // guards hosts
	hosts    map[string]*testHost
	start    time.Time
	log      *zap.Logger
	version  int64
	shares   map[string]float64 // of a core, by host; 0 where it does not matter
	advisor  *standin.Advisor
	machines *standin.Machines
	cancel   context.CancelFunc
	ctx      context.Context
}

type testHost struct {
	*engine.Engine
	name   string
	cancel context.CancelFunc
	done   chan struct{}
}

type clusterOptions struct {
	hosts, workers int
	shares         map[string]float64
	seed           uint64
	log            *zap.Logger
}

func newCluster(t *testing.T, o clusterOptions) *cluster {
	t.Helper()
	if o.log == nil {
		o.log = zap.NewNop()
	}
	s := standin.NewStore(o.seed)
	ctx, cancel := context.WithCancel(t.Context())
	c := &cluster{t: t, store: s, hosts: map[string]*testHost{}, shares: o.shares, start: time.Now(), log: o.log, ctx: ctx, cancel: cancel}
	c.fleet = standin.NewFleet(standin.FleetOptions{
		MaxLease: leaseMax, StopTimeout: 900 * time.Millisecond, GangTimeout: 3 * time.Second,
		SaveInterval: 2 * time.Second, Restore: 250 * time.Millisecond, HeartbeatInterval: heartbeat, CrossRackSlowdown: 3, Seed: o.seed,
	}, s)
	c.advisor, c.machines = c.fleet.Advisor(), c.fleet.Machines(waveCap)
	for i := range o.workers {
		c.workers = append(c.workers, c.fleet.AddWorker(entry(i)))
	}
	c.publish(defaultManifest())
	for i := range o.hosts {
		c.addHost(fmt.Sprintf("host-%d", i))
	}
	time.Sleep(settle)
	return c
}

// entry is the worker with the given number: six to a rack, four zones.
func entry(i int) workers.Entry {
	return workers.Entry{
		ID: fmt.Sprintf("w%02d", i), Service: "scores", Address: fmt.Sprintf("10.0.0.%d:80", i),
		Zone: fmt.Sprintf("zone-%d", i%4), Rack: fmt.Sprintf("rack-%d", i/6), Labels: []string{"a", fmt.Sprintf("rack-%d", i/6)},
		Capacity: work.Resources{CPU: 128_000, MemoryMB: 512 << 10, Accelerators: 8},
	}
}

func defaultManifest() *manifest.Manifest {
	return &manifest.Manifest{
		Queues: []manifest.Queue{
			{Name: "urgent", Host: "h", PathPrefix: "/urgent/", Service: "scores", Priority: 0, MaxAttempts: 3, Stretch: 1.5, ObjectiveMS: 250},
			{Name: "normal", Host: "h", PathPrefix: "/normal/", Service: "scores", Priority: 1, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 1000},
			{Name: "advised", Host: "h", PathPrefix: "/advised/", Service: "scores", Priority: 1, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 1000, NeedsAdvice: true},
			{Name: "batch", Host: "h", PathPrefix: "/batch/", Service: "scores", Priority: 2, MaxAttempts: 3, Stretch: 3, ObjectiveMS: 3000},
		},
		Organisations: []manifest.Organisation{
			{Name: "choir", Keys: []string{"key"}, GuaranteedAccelerators: 64},
			{Name: "guest", Keys: []string{"guest-key"}},
		},
	}
}

// publish puts a new version of the manifest in force.
func (c *cluster) publish(m *manifest.Manifest) {
	c.version++
	m.Version = c.version
	data, err := json.Marshal(m)
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.Put(operatorTopic, store.Record{Key: "config", Value: data})
}

func decodeOperator(r store.Record) (replica.OperatorChange, error) {
	if zone, ok := strings.CutPrefix(r.Key, "evacuate/"); ok {
		return replica.OperatorChange{Zone: zone, ZoneOut: len(r.Value) > 0}, nil
	}
	if strings.HasPrefix(r.Key, "wave/") {
		w := &replica.Wave{}
		if err := json.Unmarshal(r.Value, w); err != nil {
			return replica.OperatorChange{}, err
		}
		return replica.OperatorChange{WaveKey: r.Key, Wave: w}, nil
	}
	m := &manifest.Manifest{}
	if err := json.Unmarshal(r.Value, m); err != nil {
		return replica.OperatorChange{}, err
	}
	m.Index()
	return replica.OperatorChange{Manifest: m}, nil
}

func waveStatus(w replica.Wave, completed bool) store.Record {
	return store.Record{Key: fmt.Sprintf("wave/%d", w.Number), Value: []byte(strconv.FormatBool(completed))}
}

// clock is the boot-time clock of virtual hosts.
func (c *cluster) clock() time.Duration { return time.Since(c.start) + time.Hour }

func (c *cluster) addHost(name string) *testHost {
	ctx, cancel := context.WithCancel(c.ctx)
	e := engine.New(engine.Options{
		Host: name, CPUShare: c.shares[name], Store: c.store.Client(name), Workers: c.fleet.Client(name), Advisor: c.advisor, Machines: c.machines, StatusTopic: statusTopic, WaveStatus: waveStatus,
		OperatorTopic: operatorTopic, WorkerTopic: standin.TopicWorkers,
		DecodeOperator: decodeOperator, DecodeWorker: standin.DecodeWorker,
		Bounds: scheduler.Bounds{
			MaxLease: leaseMax, StopTimeout: 900 * time.Millisecond, StatusRetention: 2 * time.Minute,
			WorkerHeartbeatInterval: heartbeat, HolderLease: 3 * time.Second, UpkeepDuration: 2 * time.Second,
		},
		RevokeBound: 5 * time.Second, MemberTTLMin: time.Second, Now: c.clock, Wall: time.Now,
		Metrics: gometrics.NewRegistry(), Logger: c.log.With(zap.String("host", name)),
	})
	h := &testHost{Engine: e, name: name, cancel: cancel, done: make(chan struct{})}
	c.mu.Lock()
	c.hosts[name] = h
	c.mu.Unlock()
	go func() {
		defer close(h.done)
		go func() { _ = e.Follow(ctx) }()
		_ = e.Own(ctx)
	}()
	return h
}

// crash ends a host without a word to the store.
func (c *cluster) crash(name string) {
	c.store.SetHostFaults(name, standin.StoreFaults{Refuse: true})
	c.mu.Lock()
	h := c.hosts[name]
	delete(c.hosts, name)
	c.mu.Unlock()
	h.cancel()
	<-h.done
	c.store.SetHostFaults(name, standin.StoreFaults{})
}

// owner is the host that is the scheduler, or nil.
func (c *cluster) owner() *testHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.Owns() {
			return h
		}
	}
	return nil
}

func (c *cluster) anyHost() *testHost {
	for {
		c.mu.Lock()
		for _, h := range c.hosts {
			c.mu.Unlock()
			return h
		}
		c.mu.Unlock()
		time.Sleep(100 * time.Millisecond) // all hosts are down at this moment
	}
}

// close ends the deployment and reports the promises that the workers saw broken.
func (c *cluster) close() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		<-h.done
	}
	c.fleet.Close()
	time.Sleep(time.Minute) // timers of orders that were carried out late run out
	for _, f := range c.fleet.Ledger().Violations() {
		c.t.Error(f)
	}
}

func call(path string) intake.Call {
	return intake.Call{Host: "h", Path: path, Key: "key", Timeout: callerPatience}
}

// job makes a job of one step.
func job(id int, steps ...work.Step) work.Job {
	return work.Job{ID: fmt.Sprintf("%016x", id), Spec: fmt.Sprintf("spec %d", id), Steps: steps}
}

// submit hands a job in at a host, and repeats it while the outcome is open.
func (c *cluster) submit(queue string, j work.Job, b standin.Behaviour) {
	c.t.Helper()
	c.submitAs("key", queue, j, b)
}

// submitAs is submit with the key of an organisation.
func (c *cluster) submitAs(key, queue string, j work.Job, b standin.Behaviour) {
	c.t.Helper()
	where := call("/" + queue + "/" + j.ID)
	where.Key = key
	j.MaxAttempts = 3
	c.fleet.RegisterJob(&j, func(int, int) standin.Behaviour { return b })
	for range 60 {
		a := c.anyHost().Intake.Submit(c.t.Context(), where, j)
		if a.Outcome == intake.OK {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.t.Errorf("job %s was not accepted", j.ID)
}

// status of a job as a host reports it.
func (c *cluster) status(id string) work.Status {
	for range 20 {
		a := c.anyHost().Intake.Status(c.t.Context(), call("/normal/"+id), id)
		if a.Outcome == intake.OK {
			return a.Status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

// await waits until the job has a final status, and returns how long that took.
func (c *cluster) await(id string, want work.Status, within time.Duration) time.Duration {
	c.t.Helper()
	began := time.Now()
	for time.Since(began) < within {
		if s := c.status(id); s.Ended() {
			if s != want {
				c.t.Errorf("job %s ended as %c, want %c", id, s, want)
			}
			return time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("job %s has not ended within %s", id, within)
	return time.Since(began)
}

// workersOf are the indexes of the workers that the job's tasks run on.
func (c *cluster) runsOf(j work.Job) []standin.LedgerRun {
	var out []standin.LedgerRun
	for s := range j.Steps {
		for i := range j.Steps[s].Tasks {
			for _, r := range c.fleet.Ledger().Runs(work.TaskName{Job: j.ID, Step: s, Index: i}) {
				if r.End.IsZero() {
					out = append(out, r)
				}
			}
		}
	}
	return out
}

// worker returns the worker with the id.
func (c *cluster) worker(id string) *standin.Worker {
	var n int
	if _, err := fmt.Sscanf(id, "w%d", &n); err != nil {
		c.t.Fatal(err)
	}
	return c.workers[n]
}

// setZone takes a zone out of use or back.
func (c *cluster) setZone(zone string, out bool) {
	r := store.Record{Key: "evacuate/" + zone}
	if out {
		r.Value = []byte("{}")
	}
	c.store.Put(operatorTopic, r)
}
