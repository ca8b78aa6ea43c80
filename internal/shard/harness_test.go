package shard

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/zap"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/controller"
	"github.com/daisyfold/daisyfold/internal/emulator"
	"github.com/daisyfold/daisyfold/internal/jobs"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/judge"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
	"github.com/daisyfold/daisyfold/internal/queue"
)

const testZone model.Zone = "quimper"

// memoryLog is the log shared by all hosts. It applies an appended record at once to the
// table of every live host.
type memoryLog struct {
	mu          sync.Mutex
	nextOffset  int64
	appendedIDs map[string]bool
	tables      map[model.HostID]*jobs.Table
	records     []journal.Record // for hosts that start later
	down        bool
}

func (l *memoryLog) append(r journal.Record) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, journal.ErrNotRecorded
	}
	if !l.appendedIDs[r.ID] {
		l.appendedIDs[r.ID] = true
		l.records = append(l.records, r)
		for _, t := range l.tables {
			t.Apply(l.nextOffset, r)
		}
		l.nextOffset++
	}
	return l.nextOffset - 1, nil
}

// testHost is one planner with its own view of the log and of the workers.
type testHost struct {
	id      model.HostID
	cluster *testCluster
	board   *blackboard.Board
	table   *jobs.Table
	manager *Manager
	cancel  context.CancelFunc
	done    sync.WaitGroup
	// beforeCall runs before each call to a worker or to the log. If it returns an error,
	// the call fails.
	beforeCall atomic.Pointer[func(call string) error]
	killed     chan struct{}
	killOnce   sync.Once
	queued     []journal.StreamRecord // appended when the log is available again
}

// Append implements journal.Journal.
func (h *testHost) Append(ctx context.Context, _ journal.Stream, r journal.Record) (int64, error) {
	if err := h.checkCall(ctx, string(r.Kind)); err != nil {
		return 0, err
	}
	return h.cluster.log.append(r)
}

// State implements journal.Journal.
func (h *testHost) State() journal.State {
	h.cluster.log.mu.Lock()
	defer h.cluster.log.mu.Unlock()
	return journal.State{Reachable: !h.cluster.log.down, Answering: !h.cluster.log.down}
}

// Replayed implements journal.Journal.
func (h *testHost) Replayed(journal.Stream) bool { return true }

// CopyToPeers implements jobs.Copier.
func (h *testHost) CopyToPeers(_ context.Context, records []journal.StreamRecord, _ int) int {
	stored := 0
	for _, other := range h.cluster.liveHosts() {
		if other == h {
			continue
		}
		stored++
		other.AppendAsync(records)
		for _, r := range records {
			other.table.ApplyProvisional(r.Record)
		}
	}
	return stored
}

// CopyToHost implements jobs.Copier.
func (h *testHost) CopyToHost(context.Context, model.HostID, []journal.StreamRecord) bool {
	return false
}

// HasRelay implements jobs.Relay.
func (h *testHost) HasRelay() bool { return false }

// Relay implements jobs.Relay.
func (h *testHost) Relay(context.Context, journal.StreamRecord) (bool, error) {
	return false, errKilled
}

// AppendAsync implements jobs.AsyncAppender.
func (h *testHost) AppendAsync(records []journal.StreamRecord) bool {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	h.queued = append(h.queued, records...)
	return true
}

// Check implements Evidence.
func (h *testHost) Check(model.Zone) (bool, string) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return !h.cluster.noEvidence, "no evidence"
}

// setBeforeCall sets the function that runs before each call.
func (h *testHost) setBeforeCall(f func(call string) error) { h.beforeCall.Store(&f) }

var errKilled = errors.New("the host was killed")

// checkCall runs beforeCall for a call. It returns an error if the call must fail, also
// because the host was killed.
func (h *testHost) checkCall(ctx context.Context, name string) error {
	if f := h.beforeCall.Load(); f != nil {
		if err := (*f)(name); err != nil {
			return err
		}
	}
	select {
	case <-h.killed:
		return errKilled
	default:
		return ctx.Err()
	}
}

// kill stops the host at once, as SIGKILL does: it makes no more calls.
func (h *testHost) kill() {
	h.killOnce.Do(func() {
		close(h.killed)
		h.cluster.log.mu.Lock()
		delete(h.cluster.log.tables, h.id)
		h.cluster.log.mu.Unlock()
		h.cancel()
	})
}

// RoundTrip sends the host's calls to the workers of the emulator.
func (h *testHost) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := h.checkCall(r.Context(), path.Base(r.URL.Path)); err != nil {
		return nil, err
	}
	return h.cluster.leases.record(int(h.id[1]), r, func() (*http.Response, error) {
		return emulator.Transport(h.cluster.emulator.Handler()).RoundTrip(r)
	})
}

// testCluster is a zone with workers and two entry hosts.
type testCluster struct {
	t        *testing.T
	emulator *emulator.Emulator
	workers  []model.Worker
	log      *memoryLog
	hosts    []*testHost
	history  judge.History
	leases   *leaseHistory

	mu         sync.Mutex
	owner      model.HostID
	noEvidence bool
	lastID     int
}

func newTestCluster(t *testing.T, workers int) *testCluster {
	d := emulator.Default()
	d.Zones = []emulator.Zone{{Name: testZone, Workers: workers}}
	c := &testCluster{t: t, emulator: emulator.New(d, "http://platform"), owner: "h1"}
	c.leases = &leaseHistory{ops: map[string][]porcupine.Operation{}}
	c.log = &memoryLog{appendedIDs: map[string]bool{}, tables: map[model.HostID]*jobs.Table{}}
	c.workers = c.listWorkers()
	for i := range 2 {
		c.hosts = append(c.hosts, c.newHost(model.HostID(fmt.Sprintf("h%d", i+1))))
	}
	return c
}

func (c *testCluster) listWorkers() []model.Worker {
	rt := emulator.Transport(c.emulator.Handler())
	list, _, err := hostlist.NewWithTransport("http://platform", rt).Fetch(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	return list.Workers
}

func (c *testCluster) newHost(id model.HostID) *testHost {
	h := &testHost{id: id, cluster: c, board: blackboard.New(), table: jobs.NewTable(time.Now), killed: make(chan struct{})}
	c.log.mu.Lock()
	for i, r := range c.log.records {
		h.table.Apply(int64(i), r)
	}
	c.log.tables[id] = h.table
	c.log.mu.Unlock()
	h.board.Hosts.Put(&hostlist.List{Workers: c.workers})
	h.setZone(1, true)
	pool := controller.NewPool(2)
	h.manager = NewManager(Options{
		Host: id, Zone: testZone, Board: h.board, Jobs: h.table, Journal: h, Copier: h, Appender: h, Relay: h,
		Dialer: workerlink.NewWithTransport(h), Evidence: h, Owner: c.ownerOf,
		Guarantees:              func(*blackboard.Configuration, model.ShardID) []model.Guarantee { return nil },
		UnavailableDependencies: func() map[model.Service]model.Service { return nil },
		History:                 &queue.History{}, Pool: pool, Logger: zap.NewNop(), Now: time.Now, NewID: c.newID,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.done.Go(func() { pool.Run(ctx) })
	h.done.Go(func() { h.manager.Run(ctx) })
	return h
}

// liveHosts returns the hosts that were not killed.
func (c *testCluster) liveHosts() []*testHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*testHost
	for _, h := range c.hosts {
		select {
		case <-h.killed:
		default:
			out = append(out, h)
		}
	}
	return out
}

// setLogDown makes the log unavailable or available. When it becomes available, every live
// host appends the records that it queued.
func (c *testCluster) setLogDown(down bool) {
	c.log.mu.Lock()
	c.log.down = down
	c.log.mu.Unlock()
	if down {
		return
	}
	for _, h := range c.liveHosts() {
		c.mu.Lock()
		queued := h.queued
		h.queued = nil
		c.mu.Unlock()
		for _, r := range queued {
			if _, err := c.log.append(r.Record); err != nil {
				c.t.Error(err)
			}
		}
	}
}

func (h *testHost) setZone(version int64, inService bool) {
	h.board.Config.Put(&blackboard.Configuration{Version: version, Parsed: &config.Config{
		AvailabilityZones: []config.AvailabilityZone{{Name: testZone, InService: inService}},
		Organisations:     []config.Organisation{{Name: "org"}},
	}})
}

func (c *testCluster) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return fmt.Sprint("id", c.lastID)
}

func (c *testCluster) ownerOf(model.ShardID) (model.HostID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner, true
}

// setOwner makes a host the owner, as membership does after it detects that the previous one
// died.
func (c *testCluster) setOwner(to *testHost) {
	c.mu.Lock()
	c.owner = to.id
	c.mu.Unlock()
	for _, h := range c.hosts {
		h.board.Members.Notify()
	}
}

// setWorkerFault applies a fault to one worker.
func (c *testCluster) setWorkerFault(id model.WorkerID, f emulator.WorkerFault) {
	f.IDs = []model.WorkerID{id}
	c.emulator.SetFaults(emulator.Faults{Workers: []emulator.WorkerFault{f}})
}

// submit submits a job with one task per worker. Each task runs for runTime. change may
// modify the spec and may be nil.
func (c *testCluster) submit(id model.JobID, tasks int, runTime time.Duration, change func(*model.JobSpec)) model.JobKey {
	key := model.JobKey{Organisation: "org", ID: id}
	spec := model.JobSpec{
		Key: key, Service: "s", Tasks: tasks, Within: model.LevelRack, Priority: model.PriorityNormal,
		Task:    model.Resources{CPUs: 8, Accelerators: model.AcceleratorsPerWorker},
		Payload: fmt.Appendf(nil, `{"runMS": %d}`, runTime.Milliseconds()),
	}
	if change != nil {
		change(&spec)
	}
	body := journal.JobAccepted{Spec: spec, HomeShard: model.ShardID{Zone: testZone}, UnixMS: time.Now().UnixMilli()}
	r, err := journal.NewRecord(journal.KindJobAccepted, "caller", "accept/"+key.String(), time.Now(), body)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.log.append(r); err != nil {
		c.t.Fatal(err)
	}
	c.history.Jobs = append(c.history.Jobs, judge.Job{
		Key: key, Tasks: tasks, NonRepeatable: spec.NonRepeatable,
		Expected: judge.ExpectComplete, Reply: judge.ReplyAccepted,
	})
	return key
}

// waitFinal waits until a job is final in a host's table, records its state for the judge and
// returns the state.
func (c *testCluster) waitFinal(h *testHost, key model.JobKey, limit time.Duration) model.JobState {
	c.t.Helper()
	select {
	case <-h.table.Done(key):
	case <-time.After(limit):
		c.t.Errorf("job %s is not final after %s: %+v", key, limit, h.table.Get(key).Job)
		for _, e := range h.board.Events.Since(time.Time{}) {
			c.t.Log(e.Time.Format("04:05.000"), e.Message)
		}
	}
	state := h.table.Get(key).Job.State
	for i := range c.history.Jobs {
		if c.history.Jobs[i].Key == key {
			c.history.Jobs[i].State = state
		}
	}
	return state
}

// checkAndClose fails the test if the judge finds a violation in the ledger or the lease
// history is invalid, and closes the cluster.
func (c *testCluster) checkAndClose() {
	c.t.Helper()
	verdict := judge.Check(c.emulator.Ledger(), c.history)
	for _, violation := range verdict.Violations {
		c.t.Error(violation)
	}
	c.leases.check(c.t)
	c.close()
}

func (c *testCluster) close() {
	for _, h := range c.hosts {
		h.kill()
	}
	// The leases of running tasks must end before the synctest bubble ends.
	time.Sleep(2 * leaseTTL)
	for _, h := range c.hosts {
		h.done.Wait()
	}
	synctest.Wait()
}
