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
	"github.com/daisyfold/daisyfold/platform"
	"github.com/daisyfold/daisyfold/platform/platformtest"
)

const (
	operatorTopic = "keyed.op"
	statusTopic   = "keyed.status"
)

// maxDownPerWave is the number of machines of a wave that may be down at the same time.
const maxDownPerWave = 2

const (
	maxLease          = 6 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	settleTime        = 5 * time.Second // time for the hosts to elect an owner and load the topics
	callerTimeout     = 3 * time.Second
)

// cluster is a simulated deployment in virtual time.
type cluster struct {
	t               *testing.T
	store           *standin.Store
	fleet           *standin.Fleet
	workers         []*standin.Worker
	mu              sync.Mutex // guards hosts and organisations
	hosts           map[string]*testHost
	start           time.Time
	log             *zap.Logger
	limits          store.Limits
	manifestVersion int64
	organisations   map[string]string  // by key, in the newest manifest
	cpuShares       map[string]float64 // share of a core by host; 0 if a test does not set it
	advisor         *standin.Advisor
	machines        *standin.Machines
	cancel          context.CancelFunc
	ctx             context.Context
	// wrapStore, if set, wraps the store's client of each host that is added.
	wrapStore func(host string, s store.Store) store.Store
	// wrapWorkers, if set, does so with its client of the workers.
	wrapWorkers func(host string, w workers.Client) workers.Client
	// clockMu guards busyTime and failNext. It is not mu, because close holds mu while it
	// waits for the hosts, which read the clock.
	clockMu sync.Mutex
	// busyTime is how long each reading of a host's wall clock takes, by host, which keeps
	// the loop of an owner busy.
	busyTime map[string]time.Duration
	// failNext makes the next reading of a host's wall clock panic, by host.
	failNext map[string]bool
	// platformFormat is the option of the same name.
	platformFormat bool
	peers          *peerNetwork // nil if the hosts do not relay calls
}

type testHost struct {
	*engine.Engine
	name    string
	metrics gometrics.Registry
	cancel  context.CancelFunc
	done    chan struct{}
}

type clusterOptions struct {
	hosts, workers int
	cpuShares      map[string]float64
	seed           uint64
	log            *zap.Logger
	// newIDAfterCrash gives workers a new id when they restart after a crash that a task
	// caused.
	newIDAfterCrash bool
	// staleEntries keeps the entries of workers unchanged while the store is unavailable.
	staleEntries bool
	// endsPageSize is the largest number of ends in a worker's report; 0 means the platform's.
	endsPageSize int
	// gangBreakTime is the time until the members of a gang notice that another one has failed.
	gangBreakTime time.Duration
	// orderTime is the time that a worker needs for an order.
	orderTime time.Duration
	// limits are the store's limits according to the settings; none means those that it has.
	limits store.Limits
	// platformFormat makes the records of the workers and the operators those of the platform.
	platformFormat bool
	// relay makes the hosts relay calls.
	relay bool
}

func newCluster(t *testing.T, o clusterOptions) *cluster {
	t.Helper()
	if o.log == nil {
		o.log = zap.NewNop()
	}
	if o.limits == (store.Limits{}) {
		o.limits = standin.StoreLimits
	}
	s := standin.NewStore(o.seed)
	ctx, cancel := context.WithCancel(t.Context())
	c := &cluster{t: t, store: s, limits: o.limits, hosts: map[string]*testHost{}, cpuShares: o.cpuShares, platformFormat: o.platformFormat, start: time.Now(), log: o.log, ctx: ctx, cancel: cancel, busyTime: map[string]time.Duration{}, failNext: map[string]bool{}}
	if o.relay {
		c.peers = newPeerNetwork()
	}
	fleetOptions := standin.FleetOptions{
		MaxLease: maxLease, StopTimeout: 900 * time.Millisecond, GangTimeout: 3 * time.Second,
		SaveInterval: 2 * time.Second, Restore: 250 * time.Millisecond, HeartbeatInterval: heartbeatInterval, CrossRackSlowdown: 3, Seed: o.seed, NewIDAfterCrash: o.newIDAfterCrash, StaleEntries: o.staleEntries, EndsPageSize: o.endsPageSize, OrderTime: o.orderTime, GangBreakTime: o.gangBreakTime,
	}
	if o.platformFormat {
		fleetOptions.EncodeEntry = platformtest.EncodeWorkerEntry
	}
	c.fleet = standin.NewFleet(fleetOptions, s)
	c.advisor, c.machines = c.fleet.Advisor(), c.fleet.Machines(maxDownPerWave)
	for i := range o.workers {
		c.workers = append(c.workers, c.fleet.AddWorker(newWorkerEntry(i)))
	}
	c.publishManifest(defaultManifest())
	for i := range o.hosts {
		c.addHost(fmt.Sprintf("host-%d", i))
	}
	time.Sleep(settleTime)
	return c
}

// newWorkerEntry returns the entry of worker i. A rack has six workers, and the workers
// are spread over four zones.
func newWorkerEntry(i int) workers.Entry {
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

// publishManifest publishes the manifest with the next version.
func (c *cluster) publishManifest(m *manifest.Manifest) {
	c.manifestVersion++
	m.Version = c.manifestVersion
	data, err := json.Marshal(m)
	if err != nil {
		c.t.Fatal(err)
	}
	if c.platformFormat {
		data = platformtest.EncodeManifest(m)
	}
	organisations := map[string]string{}
	for _, o := range m.Organisations {
		for _, key := range o.Keys {
			organisations[key] = o.Name
		}
	}
	c.mu.Lock()
	c.organisations = organisations
	c.mu.Unlock()
	c.fleet.Ledger().RecordManifest(m)
	c.store.Put(operatorTopic, store.Record{Key: "config", Value: data})
}

// requestUpkeep publishes the request for an upkeep wave.
func (c *cluster) requestUpkeep(wave replica.Wave) {
	value, err := json.Marshal(wave)
	if err != nil {
		c.t.Error(err)
	}
	c.store.Put(operatorTopic, store.Record{Key: fmt.Sprintf("wave/%d", wave.Number), Value: value})
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

func encodeWaveStatus(w replica.Wave, completed bool) store.Record {
	return store.Record{Key: fmt.Sprintf("wave/%d", w.Number), Value: []byte(strconv.FormatBool(completed))}
}

// clock returns the time of the simulated hosts' boot-time clock.
func (c *cluster) clock() time.Duration { return time.Since(c.start) + time.Hour }

func (c *cluster) addHost(name string) *testHost {
	ctx, cancel := context.WithCancel(c.ctx)
	client := c.store.Client(name)
	if c.wrapStore != nil {
		client = c.wrapStore(name, client)
	}
	workersClient := c.fleet.Client(name)
	if c.wrapWorkers != nil {
		workersClient = c.wrapWorkers(name, workersClient)
	}
	registry := gometrics.NewRegistry()
	o := engine.Options{
		Host: name, CPUShare: c.cpuShares[name], Store: client, Workers: workersClient, Advisor: c.advisor.Client(name), Machines: c.machines, StatusTopic: statusTopic, EncodeWaveStatus: encodeWaveStatus,
		OperatorTopic: operatorTopic, WorkerTopic: standin.TopicWorkers,
		DecodeOperator: decodeOperator, DecodeWorker: standin.DecodeWorker,
		Bounds: scheduler.Bounds{
			MaxLease: maxLease, StopTimeout: 900 * time.Millisecond, StatusRetention: 2 * time.Minute,
			WorkerHeartbeatInterval: heartbeatInterval, HolderLease: 3 * time.Second, UpkeepDuration: 2 * time.Second,
		},
		StoreLimits: c.limits, MaxRevocationDelay: 5 * time.Second, MinMembershipTTL: time.Second, Now: c.clock, WallClock: func() time.Time { return c.readWallClock(name) },
		Metrics: registry, Logger: c.log.With(zap.String("host", name)),
	}
	if c.platformFormat {
		o.DecodeOperator, o.DecodeWorker, o.EncodeWaveStatus = platform.DecodeOperator, platform.DecodeWorker, platform.EncodeWaveStatus
	}
	if c.peers != nil {
		o.PeerTransport, o.Zone = c.peers, hostZone(name)
	}
	e := engine.New(o)
	if c.peers != nil {
		c.peers.add(name, e.Relay)
		go func() { _ = e.Relay.Register(ctx, peerAddress(name)) }()
	}
	h := &testHost{Engine: e, name: name, metrics: registry, cancel: cancel, done: make(chan struct{})}
	c.mu.Lock()
	c.hosts[name] = h
	c.mu.Unlock()
	go func() {
		defer close(h.done)
		go func() { _ = e.RunFollowers(ctx) }()
		_ = e.RunScheduler(ctx)
	}()
	return h
}

// readWallClock returns the time of day at a host, after the time for which the host is
// busy.
func (c *cluster) readWallClock(name string) time.Time {
	c.clockMu.Lock()
	busy, fail := c.busyTime[name], c.failNext[name]
	delete(c.failNext, name)
	c.clockMu.Unlock()
	if fail {
		panic("injected failure")
	}
	if busy > 0 {
		time.Sleep(busy)
	}
	return time.Now()
}

// setBusy makes each round of the host's scheduler take at least d.
func (c *cluster) setBusy(name string, d time.Duration) {
	c.clockMu.Lock()
	defer c.clockMu.Unlock()
	c.busyTime[name] = d
}

// crash stops a host without a call to the store, so that the host does not leave the
// group.
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

// owner returns the host that is the owner, or nil.
func (c *cluster) owner() *testHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.IsOwner() {
			return h
		}
	}
	return nil
}

// anyHost returns a host that runs. It waits for one if there is none.
func (c *cluster) anyHost() *testHost {
	for {
		c.mu.Lock()
		for _, h := range c.hosts {
			c.mu.Unlock()
			return h
		}
		c.mu.Unlock()
		time.Sleep(100 * time.Millisecond) // all hosts are down
	}
}

// close stops the deployment and fails the test if the ledger has recorded violations.
func (c *cluster) close() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		<-h.done
	}
	c.fleet.Close()
	time.Sleep(time.Minute) // the timers of delayed orders expire
	for _, v := range c.fleet.Ledger().Violations() {
		c.t.Error(v)
	}
}

// newCall returns a call with the key of the organisation choir.
func newCall(path string) intake.Call {
	return intake.Call{Host: "h", Path: path, Key: "key", Timeout: callerTimeout}
}

// newJob returns a job with the given steps.
func newJob(id int, steps ...work.Step) work.Job {
	return work.Job{ID: fmt.Sprintf("%016x", id), Spec: fmt.Sprintf("spec %d", id), Steps: steps}
}

// submit submits a job at any host, and retries until it is accepted.
func (c *cluster) submit(queue string, j work.Job, b standin.Behaviour) {
	c.t.Helper()
	c.submitWithKey("key", queue, j, b)
}

// submitWithKey is submit with the key of an organisation.
func (c *cluster) submitWithKey(key, queue string, j work.Job, b standin.Behaviour) {
	c.t.Helper()
	c.submitTasks(key, queue, j, func(int, int) standin.Behaviour { return b })
}

// submitTasks is submitWithKey with a behaviour for each task.
func (c *cluster) submitTasks(key, queue string, j work.Job, behaviour func(step, index int) standin.Behaviour) {
	c.t.Helper()
	target := newCall("/" + queue + "/" + j.ID)
	target.Key = key
	c.mu.Lock()
	j.MaxAttempts, j.Organisation = 3, c.organisations[key]
	c.mu.Unlock()
	c.fleet.RegisterJob(&j, behaviour)
	for range 60 {
		a := c.anyHost().Intake.Submit(c.t.Context(), target, j)
		if a.Outcome == intake.OK {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.t.Errorf("job %s was not accepted", j.ID)
}

// status returns the status of a job according to any host, or 0 if none returns it.
func (c *cluster) status(id string) work.Status {
	for range 20 {
		a := c.anyHost().Intake.Status(c.t.Context(), newCall("/normal/"+id), id)
		if a.Outcome == intake.OK {
			return a.Status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

// awaitStatus waits until the job has ended, fails the test if the final status is not
// want, and returns how long it waited.
func (c *cluster) awaitStatus(id string, want work.Status, within time.Duration) time.Duration {
	c.t.Helper()
	start := time.Now()
	for time.Since(start) < within {
		if s := c.status(id); s.Ended() {
			if s != want {
				c.t.Errorf("job %s ended as %c, want %c", id, s, want)
			}
			return time.Since(start)
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("job %s has not ended within %s", id, within)
	return time.Since(start)
}

// activeRuns returns the runs of the job's first occurrence that have not ended.
func (c *cluster) activeRuns(j work.Job) []standin.LedgerRun {
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

// worker returns the worker with the given id.
func (c *cluster) worker(id string) *standin.Worker {
	var n int
	if _, err := fmt.Sscanf(id, "w%d", &n); err != nil {
		c.t.Fatal(err)
	}
	return c.workers[n]
}

// setZone takes a zone out of service or puts it back into service.
func (c *cluster) setZone(zone string, out bool) {
	r := store.Record{Key: "evacuate/" + zone}
	if out {
		r.Value = []byte("{}")
	}
	c.store.Put(operatorTopic, r)
}
