package calls

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/daisyfold/daisyfold/internal/apierror"
	"github.com/daisyfold/daisyfold/internal/model"
)

var (
	historySeed  = flag.Uint64("seed", 1, "first seed of the at-most-once histories")
	historyCount = flag.Int("histories", 40, "number of at-most-once histories")
)

// historyOp is either one submission of a request or one run of it at a target.
type historyOp struct {
	request string
	run     string // token of a run at a target, empty for a submission
	started int64  // of a run: when the submission that caused it was made
}

// historyEnd is what the caller of a submission was told, and when.
type historyEnd struct {
	outcome string // ran, not_run, unknown, broken or kept (ran without an answer)
	token   string
	at      int64
}

// onceState is the state of one request: the token of its only run, and until when
// its submissions were refused as not_run.
type onceState struct {
	token   string
	refused int64
}

// onceModel says what at most once means for one request: there is one run at most,
// answers carry its token, and not_run holds for all submissions made before it was
// said. A submission made later is a new decision of the caller.
var onceModel = porcupine.Model{
	Partition: partitionByRequest,
	Init:      func() any { return onceState{} },
	Step: func(state, input, output any) (bool, any) {
		s, op, end := state.(onceState), input.(historyOp), output.(historyEnd)
		switch {
		case op.run != "":
			return s.token == "" && op.started > s.refused, onceState{token: op.run}
		case end.outcome == "ran":
			return s.token == end.token, s
		case end.outcome == "kept":
			return s.token != "", s
		case end.outcome == "not_run":
			return s.token == "", onceState{refused: max(s.refused, end.at)}
		default:
			return true, s
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func partitionByRequest(history []porcupine.Operation) [][]porcupine.Operation {
	byRequest := map[string][]porcupine.Operation{}
	for _, op := range history {
		id := op.Input.(historyOp).request
		byRequest[id] = append(byRequest[id], op)
	}
	var out [][]porcupine.Operation
	for _, ops := range byRequest {
		out = append(out, ops)
	}
	return out
}

// recorder collects a history. Its clock is a counter, because virtual time gives
// many events the same time.
type recorder struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
	ends  map[string]int
}

func (r *recorder) add(op historyOp, call int64, end historyEnd) {
	ret := r.clock.Add(1)
	end.at = ret
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: len(r.ops), Input: op, Call: call, Output: end, Return: ret})
	if op.run == "" {
		r.ends[end.outcome]++
	}
}

// startedKey is the context key of the clock at which a submission was made.
type startedKey struct{}

// submit sends one request to a host and records what its caller learned.
func (r *recorder) submit(h *host, id string, timeout time.Duration) {
	call := r.clock.Add(1)
	end := make(chan historyEnd, 1)
	go func() {
		a, err := h.svc.Do(context.WithValue(h.w.ctx, startedKey{}, call), Request{ID: id, Organisation: "o", Service: "once", Body: []byte(id), Timeout: timeout})
		end <- endOf(a, err)
	}()
	select {
	case e := <-end:
		r.add(historyOp{request: id}, call, e)
	case <-h.dead:
		r.add(historyOp{request: id}, call, historyEnd{outcome: "broken"})
	}
}

func endOf(a Answer, err error) historyEnd {
	var e *apierror.Error
	if err == nil {
		return historyEnd{outcome: "ran", token: string(a.Body)}
	}
	if !errors.As(err, &e) {
		return historyEnd{outcome: fmt.Sprintf("untyped %v", err)}
	}
	if e.Outcome == model.OutcomeRan {
		return historyEnd{outcome: "kept"}
	}
	return historyEnd{outcome: string(e.Outcome)}
}

// runHistory drives hosts, callers and faults for one seed on virtual time.
func runHistory(t *testing.T, seed uint64, f faults, outages bool) *recorder {
	rec := &recorder{ends: map[string]int{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		random := rand.New(rand.NewPCG(seed, 11))
		w := newWorld(ctx, seed, 4, f)
		w.ledger = func(ctx context.Context, request, token string) {
			started, _ := ctx.Value(startedKey{}).(int64)
			rec.add(historyOp{request: request, run: token, started: started}, rec.clock.Add(1), historyEnd{})
		}
		var callers sync.WaitGroup
		for i := range 40 {
			start := time.Duration(random.Int64N(int64(8 * time.Second)))
			callers.Go(func() { w.caller(rec, fmt.Sprint("r", i), start, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
		if outages {
			callers.Go(func() { w.breakThings(random) })
		}
		callers.Wait()
		time.Sleep(10 * time.Second) // late appends and runs land
		cancel()
		synctest.Wait()
	})
	return rec
}

// caller submits one id several times: at once at two hosts, or again after an end
// that leaves the outcome open.
func (w *world) caller(rec *recorder, id string, start time.Duration, random *rand.Rand) {
	time.Sleep(start)
	var twins sync.WaitGroup
	for range 1 + random.IntN(4) {
		h := w.host(random.IntN(len(w.hosts)))
		timeout := time.Duration(100+random.IntN(1500)) * time.Millisecond
		if random.IntN(3) == 0 {
			twins.Go(func() { rec.submit(h, id, timeout) })
			continue
		}
		rec.submit(h, id, timeout)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	twins.Wait()
}

// breakThings takes the log away from one or all hosts, and kills and restarts a
// host, at random times.
func (w *world) breakThings(random *rand.Rand) {
	for range 4 {
		time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
		i := random.IntN(len(w.hosts))
		switch random.IntN(3) {
		case 0:
			w.outage(time.Duration(random.IntN(1500))*time.Millisecond, w.hosts...)
		case 1:
			w.outage(time.Duration(random.IntN(1500))*time.Millisecond, w.host(i))
		case 2:
			dead := w.host(i).id
			w.kill(i)
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			w.setMembers(map[model.HostID]bool{dead: true})
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			w.restart(i)
			w.setMembers(nil)
		}
	}
}

func (w *world) outage(d time.Duration, hosts ...*host) {
	for _, h := range hosts {
		h.logDown.Store(true)
	}
	time.Sleep(d)
	for _, h := range hosts {
		h.logDown.Store(false)
	}
}

// TestAtMostOnceHistories guards against a non-repeatable request that runs twice,
// an answer that belongs to another run, and a not_run that is false, while appends
// and answers get lost or late, the log goes away and hosts die.
func TestAtMostOnceHistories(t *testing.T) {
	f := faults{
		appendLost: 0.08, appendLate: 0.05, appendDropped: 0.03, askLost: 0.1,
		rejected: 0.1, silentRan: 0.08, silent: 0.04, crossed: 0.04,
	}
	total := map[string]int{}
	for i := range *historyCount {
		seed := *historySeed + uint64(i)
		rec := runHistory(t, seed, f, true)
		if !porcupine.CheckOperations(onceModel, rec.ops) {
			t.Errorf("seed %d: the history is not at most once", seed)
			reportBroken(t, rec)
		}
		for outcome, n := range rec.ends {
			total[outcome] += n
		}
	}
	t.Logf("ends of submissions: %v", total)
	if total["ran"] < total["unknown"] || total["not_run"] == 0 {
		t.Errorf("ends %v: too few requests ran for the histories to mean anything", total)
	}
}

// reportBroken logs the operations of the requests that break the model.
func reportBroken(t *testing.T, rec *recorder) {
	for _, ops := range partitionByRequest(rec.ops) {
		if !porcupine.CheckOperations(onceModel, ops) {
			for _, op := range ops {
				t.Logf("%d to %d: %+v %+v", op.Call, op.Return, op.Input, op.Output)
			}
		}
	}
}

// TestNoFaultsLeaveNothingOpen guards against unknown or not_run outcomes when
// nothing goes wrong, however often a request is submitted.
func TestNoFaultsLeaveNothingOpen(t *testing.T) {
	for seed := range uint64(10) {
		rec := runHistory(t, seed, faults{}, false)
		if !porcupine.CheckOperations(onceModel, rec.ops) {
			t.Errorf("seed %d: the history is not at most once", seed)
		}
		for outcome, n := range rec.ends {
			if outcome != "ran" {
				t.Errorf("seed %d: %d submissions ended %s, want all to run", seed, n, outcome)
			}
		}
	}
}
