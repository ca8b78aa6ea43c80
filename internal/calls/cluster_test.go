package calls

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisyfold/daisyfold/internal/blackboard"
	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/journal"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/hostlist"
	"github.com/daisyfold/daisyfold/internal/platform/targetlink"
)

var errLost = errors.New("lost")

// faults holds the probabilities, from 0 to 1, of the faults that testHost injects.
type faults struct {
	appendLost, appendLate, appendDropped             float64
	peerQueryLost                                     float64
	rejected, ranNoResponse, noResponse, wrongAttempt float64
}

// testCluster is a number of hosts that share one log and one set of targets, in virtual
// time.
type testCluster struct {
	ctx        context.Context
	mu         sync.Mutex
	random     *rand.Rand
	faults     atomic.Pointer[faults]
	log        []journal.Record
	logChanged blackboard.Notifier
	hosts      []*testHost
	// onRun is called when a target runs a request; token identifies the run.
	onRun    func(ctx context.Context, request, token string)
	runCount atomic.Int64
}

// testHost is one process of an entry host; a restarted host is a new testHost. It also
// implements the journal, peers and targets of its Service.
type testHost struct {
	cluster *testCluster
	id      model.HostID
	svc     *Service
	table   *Table
	board   *blackboard.Board
	applied atomic.Int64
	changed blackboard.Notifier
	logDown atomic.Bool
	dead    chan struct{}
}

func newTestCluster(ctx context.Context, seed uint64, hosts int, f faults) *testCluster {
	cluster := &testCluster{ctx: ctx, random: rand.New(rand.NewPCG(seed, 7)), onRun: func(context.Context, string, string) {}}
	cluster.faults.Store(&f)
	for i := range hosts {
		cluster.hosts = append(cluster.hosts, cluster.startHost(model.HostID(fmt.Sprint("h", i))))
	}
	cluster.setMembers(nil)
	return cluster
}

func (c *testCluster) startHost(id model.HostID) *testHost {
	h := &testHost{cluster: c, id: id, table: NewTable(), board: blackboard.New(), dead: make(chan struct{})}
	h.board.Config.Put(&blackboard.Configuration{Version: 1, Parsed: testConfig()})
	h.board.Hosts.Put(&hostlist.List{Targets: testTargets()})
	h.svc = New(Config{Host: id, Zone: "a", Board: h.board, Journal: h, Table: h.table, Targets: h, Peers: h, Seed: 1})
	go h.applyLog()
	return h
}

func testConfig() *config.Config {
	return &config.Config{
		AvailabilityZones: []config.AvailabilityZone{{Name: "a", InService: true}, {Name: "b", InService: true}},
		Organisations:     []config.Organisation{{Name: "o"}, {Name: "slow", RequestsPerSecond: 1}},
		Services: []config.Service{
			{Name: "once", Kind: config.KindRequests, Deadline: "2s"},
			{Name: "repeatable", Kind: config.KindRequests, Deadline: "2s", Repeatable: true},
			{Name: "needs-once", Kind: config.KindRequests, Deadline: "2s", Repeatable: true, DependsOn: []model.Service{"once"}},
			{Name: "needs-empty-indirectly", Kind: config.KindRequests, Deadline: "2s", DependsOn: []model.Service{"needs-empty"}},
			{Name: "needs-empty", Kind: config.KindRequests, DependsOn: []model.Service{"empty"}},
			{Name: "empty", Kind: config.KindRequests},
			{Name: "render", Kind: config.KindJobs},
		},
	}
}

func testTargets() []model.Target {
	var out []model.Target
	for _, s := range []model.Service{"once", "repeatable", "needs-once", "needs-empty-indirectly", "needs-empty"} {
		for i := range 4 {
			zone := model.Zone("ab"[i%2 : i%2+1])
			out = append(out, model.Target{ID: model.TargetID(fmt.Sprint(s, i)), Service: s, Zone: zone, Slots: 8, MaxConnections: 64})
		}
	}
	return out
}

// setMembers tells every host which hosts are alive.
func (c *testCluster) setMembers(dead map[model.HostID]bool) {
	var all []blackboard.Member
	for _, h := range c.hosts {
		all = append(all, blackboard.Member{Host: h.id, Zone: "a", Alive: !dead[h.id]})
	}
	for _, h := range c.hosts {
		h.board.Members.Put(all)
	}
}

// chance returns true with probability p.
func (c *testCluster) chance(p float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < p
}

// delay waits for a random time below limit or until ctx ends.
func (c *testCluster) delay(ctx context.Context, limit time.Duration) {
	c.mu.Lock()
	d := time.Duration(c.random.Int64N(int64(limit)))
	c.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (c *testCluster) host(i int) *testHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[i]
}

// appendRecord adds a record to the log and returns its offset.
func (c *testCluster) appendRecord(r journal.Record) int64 {
	c.mu.Lock()
	c.log = append(c.log, r)
	offset := int64(len(c.log) - 1)
	c.mu.Unlock()
	c.logChanged.Notify()
	return offset
}

// applyLog applies the log to the host's table after a random delay while the log is
// reachable.
func (h *testHost) applyLog() {
	for {
		changed := h.cluster.logChanged.Changed()
		h.cluster.delay(h.cluster.ctx, 10*time.Millisecond)
		h.cluster.mu.Lock()
		all := h.cluster.log
		h.cluster.mu.Unlock()
		for i := h.applied.Load(); i < int64(len(all)) && !h.logDown.Load() && !h.isDead(); i++ {
			h.svc.Apply(i, all[i])
			h.applied.Store(i + 1)
			h.changed.Notify()
		}
		retry := time.After(50 * time.Millisecond)
		select {
		case <-changed:
		case <-retry:
		case <-h.cluster.ctx.Done():
			return
		case <-h.dead:
			return
		}
	}
}

func (h *testHost) isDead() bool {
	select {
	case <-h.dead:
		return true
	default:
		return false
	}
}

// Append implements journal.Journal with appends whose response is lost, that take effect
// late or that are dropped.
func (h *testHost) Append(ctx context.Context, _ journal.Stream, r journal.Record) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.cluster.ctx, cancel)() // waiting appends end with the test
	h.cluster.delay(ctx, 20*time.Millisecond)
	switch {
	case h.isDead() || h.logDown.Load() || h.cluster.chance(h.cluster.faults.Load().appendDropped):
		<-ctx.Done()
		return 0, errLost
	case h.cluster.chance(h.cluster.faults.Load().appendLate):
		go func() {
			h.cluster.delay(h.cluster.ctx, 3*time.Second)
			h.cluster.appendRecord(r)
		}()
		<-ctx.Done()
		return 0, errLost
	case h.cluster.chance(h.cluster.faults.Load().appendLost):
		h.cluster.appendRecord(r)
		<-ctx.Done()
		return 0, errLost
	}
	offset := h.cluster.appendRecord(r)
	for {
		changed := h.changed.Changed()
		if h.applied.Load() > offset {
			return offset, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, errLost
		}
	}
}

// State implements journal.Journal.
func (h *testHost) State() journal.State { return journal.State{Reachable: !h.logDown.Load()} }

// Replayed implements journal.Journal.
func (h *testHost) Replayed(journal.Stream) bool {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	return h.applied.Load() > 0 || len(h.cluster.log) == 0
}

// QueryOutcome implements Peers with lost queries and responses.
func (h *testHost) QueryOutcome(ctx context.Context, id model.HostID, org model.Organisation, request string) (PeerResponse, error) {
	h.cluster.delay(ctx, 5*time.Millisecond)
	if h.isDead() || h.cluster.chance(h.cluster.faults.Load().peerQueryLost/2) {
		<-ctx.Done()
		return PeerResponse{}, errLost
	}
	for i := range h.cluster.hosts {
		peer := h.cluster.host(i)
		if peer.id != id || peer.isDead() {
			continue
		}
		response := peer.svc.Outcome(org, request)
		h.cluster.delay(ctx, 5*time.Millisecond)
		if h.cluster.chance(h.cluster.faults.Load().peerQueryLost/2) || ctx.Err() != nil {
			return PeerResponse{}, errLost
		}
		return response, nil
	}
	return PeerResponse{}, errLost
}

// Call implements targetlink.Caller with targets that reject the call, do not respond,
// run the call after the caller's deadline or respond to another attempt.
func (h *testHost) Call(ctx context.Context, t model.Target, c targetlink.Call) (targetlink.Response, error) {
	if h.isDead() {
		<-ctx.Done()
		return targetlink.Response{}, errLost
	}
	if h.cluster.chance(h.cluster.faults.Load().rejected) {
		return targetlink.Response{}, &targetlink.NotRunError{Target: t.ID, Reason: "busy"}
	}
	if h.cluster.chance(h.cluster.faults.Load().noResponse) {
		<-ctx.Done()
		return targetlink.Response{}, ctx.Err()
	}
	if h.cluster.chance(h.cluster.faults.Load().ranNoResponse) {
		go func() {
			h.cluster.delay(h.cluster.ctx, 3*time.Second)
			h.cluster.runRequest(ctx, c.RequestID)
		}()
		<-ctx.Done()
		return targetlink.Response{}, ctx.Err()
	}
	h.cluster.delay(ctx, 50*time.Millisecond)
	token := h.cluster.runRequest(ctx, c.RequestID)
	if h.cluster.chance(h.cluster.faults.Load().wrongAttempt) {
		return targetlink.Response{}, &targetlink.AttemptMismatchError{Target: t.ID}
	}
	if ctx.Err() != nil {
		return targetlink.Response{}, ctx.Err()
	}
	return targetlink.Response{Status: 200, Body: []byte(token)}, nil
}

// runRequest runs a request at a target and returns the token of the run.
func (c *testCluster) runRequest(ctx context.Context, request string) string {
	token := fmt.Sprint("run", c.runCount.Add(1))
	c.onRun(ctx, request, token)
	return token
}

// killHost permanently disconnects a host from the log, its peers and the targets.
func (c *testCluster) killHost(i int) { close(c.host(i).dead) }

// restartHost replaces a killed host by one with the same id and without state.
func (c *testCluster) restartHost(i int) {
	old := c.host(i)
	h := c.startHost(old.id)
	c.mu.Lock()
	c.hosts[i] = h
	c.mu.Unlock()
}
