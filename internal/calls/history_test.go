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

// historyOp is an operation of a history: a submission of a request or a run of it at a
// target.
type historyOp struct {
	request     string
	run         string // token of a run at a target, empty for a submission
	submittedAt int64  // of a run: recorder's clock at the submission that caused it
}

// historyOutput is the result that the caller of a submission got, and its time.
type historyOutput struct {
	// outcome is ran, not_run, unknown, broken (no response) or response_not_kept (ran, but
	// the response was not kept).
	outcome string
	token   string // of the run that the response belongs to
	at      int64  // recorder's clock when the submission ended
}

// atMostOnceState is the state of one request: the token of its only run, and the time up
// to which its submissions were refused as not_run.
type atMostOnceState struct {
	token        string
	refusedUntil int64
}

// atMostOnceModel specifies "at most once" for one request: there is at most one run,
// responses have its token, and not_run applies to all submissions made before it was
// reported. A later submission may run.
var atMostOnceModel = porcupine.Model{
	Partition: partitionByRequest,
	Init:      func() any { return atMostOnceState{} },
	Step: func(state, input, output any) (bool, any) {
		s, op, out := state.(atMostOnceState), input.(historyOp), output.(historyOutput)
		switch {
		case op.run != "":
			return s.token == "" && op.submittedAt > s.refusedUntil, atMostOnceState{token: op.run}
		case out.outcome == "ran":
			return s.token == out.token, s
		case out.outcome == "response_not_kept":
			return s.token != "", s
		case out.outcome == "not_run":
			return s.token == "", atMostOnceState{refusedUntil: max(s.refusedUntil, out.at)}
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

// recorder records a history. Its clock is a counter, because many events happen at the
// same virtual time.
type recorder struct {
	clock    atomic.Int64
	mu       sync.Mutex
	ops      []porcupine.Operation
	outcomes map[string]int
}

func (r *recorder) add(op historyOp, call int64, output historyOutput) {
	returned := r.clock.Add(1)
	output.at = returned
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: len(r.ops), Input: op, Call: call, Output: output, Return: returned})
	if op.run == "" {
		r.outcomes[output.outcome]++
	}
}

// submittedAtKey is the context key of the recorder's clock at a submission.
type submittedAtKey struct{}

// submit sends one request to a host and records the response.
func (r *recorder) submit(h *testHost, id string, timeout time.Duration) {
	call := r.clock.Add(1)
	output := make(chan historyOutput, 1)
	go func() {
		response, err := h.svc.Call(context.WithValue(h.cluster.ctx, submittedAtKey{}, call), Request{ID: id, Organisation: "o", Service: "once", Body: []byte(id), Timeout: timeout})
		output <- outputOf(response, err)
	}()
	select {
	case out := <-output:
		r.add(historyOp{request: id}, call, out)
	case <-h.dead:
		r.add(historyOp{request: id}, call, historyOutput{outcome: "broken"})
	}
}

func outputOf(response Response, err error) historyOutput {
	var apiErr *apierror.Error
	if err == nil {
		return historyOutput{outcome: "ran", token: string(response.Body)}
	}
	if !errors.As(err, &apiErr) {
		return historyOutput{outcome: fmt.Sprintf("untyped %v", err)}
	}
	if apiErr.Outcome == model.OutcomeRan {
		return historyOutput{outcome: "response_not_kept"}
	}
	return historyOutput{outcome: string(apiErr.Outcome)}
}

// runHistory runs hosts and callers with faults, and outages if wanted, for one seed in
// virtual time.
func runHistory(t *testing.T, seed uint64, f faults, outages bool) *recorder {
	rec := &recorder{outcomes: map[string]int{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		random := rand.New(rand.NewPCG(seed, 11))
		cluster := newTestCluster(ctx, seed, 4, f)
		cluster.onRun = func(ctx context.Context, request, token string) {
			submittedAt, _ := ctx.Value(submittedAtKey{}).(int64)
			rec.add(historyOp{request: request, run: token, submittedAt: submittedAt}, rec.clock.Add(1), historyOutput{})
		}
		var callers sync.WaitGroup
		for i := range 40 {
			start := time.Duration(random.Int64N(int64(8 * time.Second)))
			callers.Go(func() {
				cluster.submitRepeatedly(rec, fmt.Sprint("r", i), start, rand.New(rand.NewPCG(seed, uint64(i))))
			})
		}
		if outages {
			callers.Go(func() { cluster.injectOutages(random) })
		}
		callers.Wait()
		time.Sleep(10 * time.Second) // let late appends and runs happen
		cancel()
		synctest.Wait()
	})
	return rec
}

// submitRepeatedly submits one id up to four times at random hosts, concurrently or one
// after the other.
func (c *testCluster) submitRepeatedly(rec *recorder, id string, start time.Duration, random *rand.Rand) {
	time.Sleep(start)
	var concurrent sync.WaitGroup
	for range 1 + random.IntN(4) {
		h := c.host(random.IntN(len(c.hosts)))
		timeout := time.Duration(100+random.IntN(1500)) * time.Millisecond
		if random.IntN(3) == 0 {
			concurrent.Go(func() { rec.submit(h, id, timeout) })
			continue
		}
		rec.submit(h, id, timeout)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	concurrent.Wait()
}

// injectOutages disconnects one or all hosts from the log, and kills and restarts a host,
// at random times.
func (c *testCluster) injectOutages(random *rand.Rand) {
	for range 4 {
		time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
		i := random.IntN(len(c.hosts))
		switch random.IntN(3) {
		case 0:
			c.interruptLog(time.Duration(random.IntN(1500))*time.Millisecond, c.hosts...)
		case 1:
			c.interruptLog(time.Duration(random.IntN(1500))*time.Millisecond, c.host(i))
		case 2:
			dead := c.host(i).id
			c.killHost(i)
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			c.setMembers(map[model.HostID]bool{dead: true})
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			c.restartHost(i)
			c.setMembers(nil)
		}
	}
}

// interruptLog disconnects the hosts from the log for d.
func (c *testCluster) interruptLog(d time.Duration, hosts ...*testHost) {
	for _, h := range hosts {
		h.logDown.Store(true)
	}
	time.Sleep(d)
	for _, h := range hosts {
		h.logDown.Store(false)
	}
}

// TestAtMostOnceHistories guards against a non-repeatable request that runs twice, a
// response of another run and a wrong not_run, while appends and responses are lost or
// late, the log is unreachable and hosts die.
func TestAtMostOnceHistories(t *testing.T) {
	f := faults{
		appendLost: 0.08, appendLate: 0.05, appendDropped: 0.03, peerQueryLost: 0.1,
		rejected: 0.1, ranNoResponse: 0.08, noResponse: 0.04, wrongAttempt: 0.04,
	}
	total := map[string]int{}
	for i := range *historyCount {
		seed := *historySeed + uint64(i)
		rec := runHistory(t, seed, f, true)
		if !porcupine.CheckOperations(atMostOnceModel, rec.ops) {
			t.Errorf("seed %d: the history violates at-most-once", seed)
			logViolations(t, rec)
		}
		for outcome, n := range rec.outcomes {
			total[outcome] += n
		}
	}
	t.Logf("outcomes of submissions: %v", total)
	if total["ran"] < total["unknown"] || total["not_run"] == 0 {
		t.Errorf("outcomes %v: too few requests ran for the histories to be meaningful", total)
	}
}

// logViolations logs the operations of the requests that violate the model.
func logViolations(t *testing.T, rec *recorder) {
	for _, ops := range partitionByRequest(rec.ops) {
		if !porcupine.CheckOperations(atMostOnceModel, ops) {
			for _, op := range ops {
				t.Logf("%d to %d: %+v %+v", op.Call, op.Return, op.Input, op.Output)
			}
		}
	}
}

// TestRequestsRunWithoutFaults guards against unknown or not_run outcomes when there are no
// faults, however often a request is submitted.
func TestRequestsRunWithoutFaults(t *testing.T) {
	for seed := range uint64(10) {
		rec := runHistory(t, seed, faults{}, false)
		if !porcupine.CheckOperations(atMostOnceModel, rec.ops) {
			t.Errorf("seed %d: the history violates at-most-once", seed)
		}
		for outcome, n := range rec.outcomes {
			if outcome != "ran" {
				t.Errorf("seed %d: %d submissions ended %s, want all to run", seed, n, outcome)
			}
		}
	}
}
