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

// faults are probabilities from 0 to 1 of what goes wrong.
type faults struct {
	appendLost, appendLate, appendDropped float64
	askLost                               float64
	rejected, silentRan, silent, crossed  float64
}

// world is several hosts around one log and one set of targets, on virtual time.
type world struct {
	ctx    context.Context
	mu     sync.Mutex
	random *rand.Rand
	faults atomic.Pointer[faults]
	log    []journal.Record
	grown  blackboard.Notifier
	hosts  []*host
	ledger func(ctx context.Context, request, token string) // called when a target runs a request
	tokens atomic.Int64
}

// host is one incarnation of an entry host.
type host struct {
	w       *world
	id      model.HostID
	svc     *Service
	table   *Table
	board   *blackboard.Board
	applied atomic.Int64
	changed blackboard.Notifier
	logDown atomic.Bool
	dead    chan struct{}
}

func newWorld(ctx context.Context, seed uint64, hosts int, f faults) *world {
	w := &world{ctx: ctx, random: rand.New(rand.NewPCG(seed, 7)), ledger: func(context.Context, string, string) {}}
	w.faults.Store(&f)
	for i := range hosts {
		w.hosts = append(w.hosts, w.start(model.HostID(fmt.Sprint("h", i))))
	}
	w.setMembers(nil)
	return w
}

func (w *world) start(id model.HostID) *host {
	h := &host{w: w, id: id, table: NewTable(), board: blackboard.New(), dead: make(chan struct{})}
	h.board.Config.Put(&blackboard.Configuration{Version: 1, Text: testText()})
	h.board.Hosts.Put(&hostlist.List{Targets: testTargets()})
	h.svc = New(Config{Host: id, Zone: "a", Board: h.board, Journal: h, Table: h.table, Targets: h, Peers: h, Seed: 1})
	go h.read()
	return h
}

func testText() *config.Config {
	return &config.Config{
		AvailabilityZones: []config.AvailabilityZone{{Name: "a", InService: true}, {Name: "b", InService: true}},
		Organisations:     []config.Organisation{{Name: "o"}, {Name: "slow", RequestsPerSecond: 1}},
		Services: []config.Service{
			{Name: "once", Kind: config.KindRequests, Deadline: "2s"},
			{Name: "again", Kind: config.KindRequests, Deadline: "2s", Repeatable: true},
			{Name: "needs-once", Kind: config.KindRequests, Deadline: "2s", Repeatable: true, DependsOn: []model.Service{"once"}},
			{Name: "needs-nothing-there", Kind: config.KindRequests, Deadline: "2s", DependsOn: []model.Service{"needs-empty"}},
			{Name: "needs-empty", Kind: config.KindRequests, DependsOn: []model.Service{"empty"}},
			{Name: "empty", Kind: config.KindRequests},
			{Name: "render", Kind: config.KindJobs},
		},
	}
}

func testTargets() []model.Target {
	var out []model.Target
	for _, s := range []model.Service{"once", "again", "needs-once", "needs-nothing-there", "needs-empty"} {
		for i := range 4 {
			zone := model.Zone("ab"[i%2 : i%2+1])
			out = append(out, model.Target{ID: model.TargetID(fmt.Sprint(s, i)), Service: s, Zone: zone, Slots: 8, Connections: 64})
		}
	}
	return out
}

// setMembers tells every host which hosts are alive.
func (w *world) setMembers(dead map[model.HostID]bool) {
	var all []blackboard.Member
	for _, h := range w.hosts {
		all = append(all, blackboard.Member{Host: h.id, Zone: "a", Alive: !dead[h.id]})
	}
	for _, h := range w.hosts {
		h.board.Members.Put(all)
	}
}

// chance draws true with probability p.
func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < p
}

// delay waits a random time of at most limit; ctx cuts it short.
func (w *world) delay(ctx context.Context, limit time.Duration) {
	w.mu.Lock()
	d := time.Duration(w.random.Int64N(int64(limit)))
	w.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (w *world) host(i int) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[i]
}

// store adds a record to the log.
func (w *world) store(r journal.Record) int64 {
	w.mu.Lock()
	w.log = append(w.log, r)
	offset := int64(len(w.log) - 1)
	w.mu.Unlock()
	w.grown.Notify()
	return offset
}

// read applies the log to the host's table, with a lag, while the log is reachable.
func (h *host) read() {
	for {
		changed := h.w.grown.Changed()
		h.w.delay(h.w.ctx, 10*time.Millisecond)
		h.w.mu.Lock()
		all := h.w.log
		h.w.mu.Unlock()
		for i := h.applied.Load(); i < int64(len(all)) && !h.logDown.Load() && !h.gone(); i++ {
			h.svc.Apply(i, all[i])
			h.applied.Store(i + 1)
			h.changed.Notify()
		}
		retry := time.After(50 * time.Millisecond)
		select {
		case <-changed:
		case <-retry:
		case <-h.w.ctx.Done():
			return
		case <-h.dead:
			return
		}
	}
}

func (h *host) gone() bool {
	select {
	case <-h.dead:
		return true
	default:
		return false
	}
}

// Append implements journal.Journal with lost, late and dropped appends.
func (h *host) Append(ctx context.Context, _ journal.Stream, r journal.Record) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.w.ctx, cancel)() // the world's end ends waiting appends
	h.w.delay(ctx, 20*time.Millisecond)
	switch {
	case h.gone() || h.logDown.Load() || h.w.chance(h.w.faults.Load().appendDropped):
		<-ctx.Done()
		return 0, errLost
	case h.w.chance(h.w.faults.Load().appendLate):
		go func() {
			h.w.delay(h.w.ctx, 3*time.Second)
			h.w.store(r)
		}()
		<-ctx.Done()
		return 0, errLost
	case h.w.chance(h.w.faults.Load().appendLost):
		h.w.store(r)
		<-ctx.Done()
		return 0, errLost
	}
	offset := h.w.store(r)
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
func (h *host) State() journal.State { return journal.State{Reachable: !h.logDown.Load()} }

// Replayed implements journal.Journal.
func (h *host) Replayed(journal.Stream) bool {
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	return h.applied.Load() > 0 || len(h.w.log) == 0
}

// PeerOutcome implements Peers with lost questions and answers.
func (h *host) PeerOutcome(ctx context.Context, id model.HostID, org model.Organisation, request string) (PeerAnswer, error) {
	h.w.delay(ctx, 5*time.Millisecond)
	if h.gone() || h.w.chance(h.w.faults.Load().askLost/2) {
		<-ctx.Done()
		return PeerAnswer{}, errLost
	}
	for i := range h.w.hosts {
		peer := h.w.host(i)
		if peer.id != id || peer.gone() {
			continue
		}
		a := peer.svc.Outcome(org, request)
		h.w.delay(ctx, 5*time.Millisecond)
		if h.w.chance(h.w.faults.Load().askLost/2) || ctx.Err() != nil {
			return PeerAnswer{}, errLost
		}
		return a, nil
	}
	return PeerAnswer{}, errLost
}

// Call implements targetlink.Caller with targets that reject, stay silent or run
// the call after the caller has given up.
func (h *host) Call(ctx context.Context, t model.Target, c targetlink.Call) (targetlink.Answer, error) {
	if h.gone() {
		<-ctx.Done()
		return targetlink.Answer{}, errLost
	}
	if h.w.chance(h.w.faults.Load().rejected) {
		return targetlink.Answer{}, &targetlink.NotRunError{Target: t.ID, Reason: "busy"}
	}
	if h.w.chance(h.w.faults.Load().silent) {
		<-ctx.Done()
		return targetlink.Answer{}, ctx.Err()
	}
	if h.w.chance(h.w.faults.Load().silentRan) {
		go func() {
			h.w.delay(h.w.ctx, 3*time.Second)
			h.w.run(ctx, c.Request)
		}()
		<-ctx.Done()
		return targetlink.Answer{}, ctx.Err()
	}
	h.w.delay(ctx, 50*time.Millisecond)
	token := h.w.run(ctx, c.Request)
	if h.w.chance(h.w.faults.Load().crossed) {
		return targetlink.Answer{}, &targetlink.AttemptMismatchError{Target: t.ID}
	}
	if ctx.Err() != nil {
		return targetlink.Answer{}, ctx.Err()
	}
	return targetlink.Answer{Status: 200, Body: []byte(token)}, nil
}

// run runs a request at a target and returns the token of the run.
func (w *world) run(ctx context.Context, request string) string {
	token := fmt.Sprint("run", w.tokens.Add(1))
	w.ledger(ctx, request, token)
	return token
}

// kill ends an incarnation: nothing it does afterwards reaches anybody.
func (w *world) kill(i int) { close(w.host(i).dead) }

// restart replaces a killed host by one that starts empty.
func (w *world) restart(i int) {
	old := w.host(i)
	h := w.start(old.id)
	w.mu.Lock()
	w.hosts[i] = h
	w.mu.Unlock()
}
