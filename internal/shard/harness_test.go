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

// memoryLog is the shared log: an append is applied at once to the table of every
// live host.
type memoryLog struct {
	mu     sync.Mutex
	next   int64
	seen   map[string]bool
	tables map[model.HostID]*jobs.Table
	all    []journal.Record // for hosts that start later
	down   bool
}

func (l *memoryLog) append(r journal.Record) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, journal.ErrNotRecorded
	}
	if !l.seen[r.ID] {
		l.seen[r.ID] = true
		l.all = append(l.all, r)
		for _, t := range l.tables {
			t.Apply(l.next, r)
		}
		l.next++
	}
	return l.next - 1, nil
}

// host is one planner with its own view of the log and of the workers.
type host struct {
	id     model.HostID
	world  *world
	board  *blackboard.Board
	table  *jobs.Table
	mgr    *Manager
	cancel context.CancelFunc
	done   sync.WaitGroup
	// before runs before each call to a worker or to the log; an error fails it.
	before atomic.Pointer[func(step string) error]
	dead   chan struct{}
	once   sync.Once
	kept   []journal.StreamRecord // appended when the log returns
}

// Append implements journal.Journal.
func (h *host) Append(ctx context.Context, _ journal.Stream, r journal.Record) (int64, error) {
	if err := h.step(ctx, string(r.Kind)); err != nil {
		return 0, err
	}
	return h.world.log.append(r)
}

// State implements journal.Journal.
func (h *host) State() journal.State {
	h.world.log.mu.Lock()
	defer h.world.log.mu.Unlock()
	return journal.State{Reachable: !h.world.log.down, Answering: !h.world.log.down}
}

// Replayed implements journal.Journal.
func (h *host) Replayed(journal.Stream) bool { return true }

// CopyToPeers implements jobs.Copier.
func (h *host) CopyToPeers(_ context.Context, records []journal.StreamRecord, _ int) int {
	stored := 0
	for _, other := range h.world.live() {
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
func (h *host) CopyToHost(context.Context, model.HostID, []journal.StreamRecord) bool { return false }

// HasRelay implements jobs.Relay.
func (h *host) HasRelay() bool { return false }

// Relay implements jobs.Relay.
func (h *host) Relay(context.Context, journal.StreamRecord) (bool, error) { return false, errDead }

// AppendAsync implements jobs.AsyncAppender.
func (h *host) AppendAsync(records []journal.StreamRecord) bool {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	h.kept = append(h.kept, records...)
	return true
}

// Check implements Evidence.
func (h *host) Check(model.Zone) (bool, string) {
	h.world.mu.Lock()
	defer h.world.mu.Unlock()
	return !h.world.noEvidence, "no evidence"
}

// hook sets what runs before each call.
func (h *host) hook(f func(step string) error) { h.before.Store(&f) }

var errDead = errors.New("host is dead")

// step runs the hook of a call and fails it once the host is dead.
func (h *host) step(ctx context.Context, name string) error {
	if f := h.before.Load(); f != nil {
		if err := (*f)(name); err != nil {
			return err
		}
	}
	select {
	case <-h.dead:
		return errDead
	default:
		return ctx.Err()
	}
}

// kill ends the host at once, as SIGKILL does: no call leaves it any more.
func (h *host) kill() {
	h.once.Do(func() {
		close(h.dead)
		h.world.log.mu.Lock()
		delete(h.world.log.tables, h.id)
		h.world.log.mu.Unlock()
		h.cancel()
	})
}

// RoundTrip lets the host's calls pass to the emulator's workers.
func (h *host) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := h.step(r.Context(), path.Base(r.URL.Path)); err != nil {
		return nil, err
	}
	return h.world.leases.record(int(h.id[1]), r, func() (*http.Response, error) {
		return emulator.Transport(h.world.emulator.Handler()).RoundTrip(r)
	})
}

// world is a zone with workers and two entry hosts.
type world struct {
	t        *testing.T
	emulator *emulator.Emulator
	workers  []model.Worker
	log      *memoryLog
	hosts    []*host
	history  judge.History
	leases   *leaseHistory

	mu         sync.Mutex
	owner      model.HostID
	noEvidence bool
	ids        int
}

func newWorld(t *testing.T, workers int) *world {
	d := emulator.Default()
	d.Zones = []emulator.Zone{{Name: testZone, Workers: workers}}
	w := &world{t: t, emulator: emulator.New(d, "http://platform"), owner: "h1"}
	w.leases = &leaseHistory{ops: map[string][]porcupine.Operation{}}
	w.log = &memoryLog{seen: map[string]bool{}, tables: map[model.HostID]*jobs.Table{}}
	w.workers = w.listWorkers()
	for i := range 2 {
		w.hosts = append(w.hosts, w.newHost(model.HostID(fmt.Sprintf("h%d", i+1))))
	}
	return w
}

func (w *world) listWorkers() []model.Worker {
	rt := emulator.Transport(w.emulator.Handler())
	list, _, err := hostlist.NewWithTransport("http://platform", rt).Fetch(w.t.Context())
	if err != nil {
		w.t.Fatal(err)
	}
	return list.Workers
}

func (w *world) newHost(id model.HostID) *host {
	h := &host{id: id, world: w, board: blackboard.New(), table: jobs.NewTable(time.Now), dead: make(chan struct{})}
	w.log.mu.Lock()
	for i, r := range w.log.all {
		h.table.Apply(int64(i), r)
	}
	w.log.tables[id] = h.table
	w.log.mu.Unlock()
	h.board.Hosts.Put(&hostlist.List{Workers: w.workers})
	h.setZone(1, true)
	pool := controller.NewPool(2)
	h.mgr = NewManager(Options{
		Host: id, Zone: testZone, Board: h.board, Jobs: h.table, Journal: h, Copier: h, Keeper: h, Relay: h,
		Dialer: workerlink.NewWithTransport(h), Evidence: h, Owner: w.ownerOf,
		Guarantees: func(*blackboard.Configuration, model.ShardID) []model.Guarantee { return nil },
		Blocked:    func() map[model.Service]model.Service { return nil },
		History:    &queue.History{}, Pool: pool, Logger: zap.NewNop(), Now: time.Now, NewID: w.newID,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.done.Go(func() { pool.Run(ctx) })
	h.done.Go(func() { h.mgr.Run(ctx) })
	return h
}

// live returns the hosts that were not killed.
func (w *world) live() []*host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*host
	for _, h := range w.hosts {
		select {
		case <-h.dead:
		default:
			out = append(out, h)
		}
	}
	return out
}

// setLog takes the log down or up. When it returns, every live host appends what it
// kept meanwhile.
func (w *world) setLog(down bool) {
	w.log.mu.Lock()
	w.log.down = down
	w.log.mu.Unlock()
	if down {
		return
	}
	for _, h := range w.live() {
		w.mu.Lock()
		kept := h.kept
		h.kept = nil
		w.mu.Unlock()
		for _, r := range kept {
			if _, err := w.log.append(r.Record); err != nil {
				w.t.Error(err)
			}
		}
	}
}

func (h *host) setZone(version int64, inService bool) {
	h.board.Config.Put(&blackboard.Configuration{Version: version, Parsed: &config.Config{
		AvailabilityZones: []config.AvailabilityZone{{Name: testZone, InService: inService}},
		Organisations:     []config.Organisation{{Name: "org"}},
	}})
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprint("id", w.ids)
}

func (w *world) ownerOf(model.ShardID) (model.HostID, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owner, true
}

// handOver makes a host the owner, as membership does after it noticed a death.
func (w *world) handOver(to *host) {
	w.mu.Lock()
	w.owner = to.id
	w.mu.Unlock()
	for _, h := range w.hosts {
		h.board.Members.Notify()
	}
}

// setWorkerFault changes one worker.
func (w *world) setWorkerFault(id model.WorkerID, f emulator.WorkerFault) {
	f.IDs = []model.WorkerID{id}
	w.emulator.SetFaults(emulator.Faults{Workers: []emulator.WorkerFault{f}})
}

// submit accepts a gang of whole workers that runs for run.
func (w *world) submit(id model.JobID, tasks int, run time.Duration, change func(*model.JobSpec)) model.JobKey {
	key := model.JobKey{Organisation: "org", ID: id}
	spec := model.JobSpec{
		Key: key, Service: "s", Tasks: tasks, Within: model.LevelRack, Priority: model.PriorityNormal,
		Task:    model.Resources{CPUs: 8, Accelerators: model.AcceleratorsPerWorker},
		Payload: fmt.Appendf(nil, `{"runMS": %d}`, run.Milliseconds()),
	}
	if change != nil {
		change(&spec)
	}
	body := journal.JobAccepted{Spec: spec, HomeShard: model.ShardID{Zone: testZone}, UnixMS: time.Now().UnixMilli()}
	r, err := journal.NewRecord(journal.KindJobAccepted, "caller", "accept/"+key.String(), time.Now(), body)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.log.append(r); err != nil {
		w.t.Fatal(err)
	}
	w.history.Jobs = append(w.history.Jobs, judge.Job{
		Key: key, Tasks: tasks, NonRepeatable: spec.NonRepeatable,
		Expected: judge.ExpectComplete, Reply: judge.ReplyAccepted,
	})
	return key
}

// finish waits until a job is final at a host, and gives its state to the judge.
func (w *world) finish(h *host, key model.JobKey, limit time.Duration) model.JobState {
	w.t.Helper()
	select {
	case <-h.table.Done(key):
	case <-time.After(limit):
		w.t.Errorf("job %s is not final after %s: %+v", key, limit, h.table.Get(key).Job)
		for _, e := range h.board.Events.Since(time.Time{}) {
			w.t.Log(e.Time.Format("04:05.000"), e.Message)
		}
	}
	state := h.table.Get(key).Job.State
	for i := range w.history.Jobs {
		if w.history.Jobs[i].Key == key {
			w.history.Jobs[i].State = state
		}
	}
	return state
}

// clean fails the test if the ledger shows a broken promise, and ends the hosts.
func (w *world) clean() {
	w.t.Helper()
	v := judge.Check(w.emulator.Ledger(), w.history)
	for _, f := range v.Violations {
		w.t.Error(f)
	}
	w.leases.check(w.t)
	w.close()
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	// Leases of tasks that still run must end before the bubble does.
	time.Sleep(2 * leaseTTL)
	for _, h := range w.hosts {
		h.done.Wait()
	}
	synctest.Wait()
}
