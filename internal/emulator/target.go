package emulator

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/ledger"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/targetlink"
)

const (
	targetsPath   = "/targets/"
	maxTargetBody = 1 << 20
)

// target is one target.
type target struct {
	info     model.Target
	kind     TargetKind
	recorder *recorder

	mu     sync.Mutex
	random *rand.Rand
	faults targetState
	busy   int
	// last is the answer before the present one; crossed answers swap the two.
	last *targetAnswer
}

// targetState holds the faults in force.
type targetState struct {
	failing, silent, leaving, crossed bool
	slow                              float64       // service time factor
	late                              time.Duration // between the end of the work and the answer
}

// targetAnswer is an answer with the attempt id that it carries.
type targetAnswer struct {
	attempt string
	status  int
	body    []byte
}

func newTarget(info model.Target, kind TargetKind, r *recorder, seed uint64) *target {
	return &target{
		info:     info,
		kind:     kind,
		recorder: r,
		random:   rand.New(rand.NewPCG(seed, 0)),
		faults:   targetState{slow: 1},
	}
}

// serveTarget answers POST /targets/{id}/call.
func (e *Emulator) serveTarget(rw http.ResponseWriter, r *http.Request) {
	t := e.targets[model.TargetID(r.PathValue("id"))]
	if t == nil {
		http.NotFound(rw, r)
		return
	}
	t.serve(rw, r)
}

func (t *target) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxTargetBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	state, admitted := t.admit()
	if state.leaving {
		rw.Header().Set(targetlink.HeaderLeaving, "true")
	}
	if !admitted {
		rw.Header().Set(targetlink.HeaderNotRun, "true")
		rw.Header().Set(targetlink.HeaderAttemptID, r.Header.Get(targetlink.HeaderAttemptID))
		http.Error(rw, "all slots are in use", http.StatusServiceUnavailable)
		return
	}
	answer := t.run(r, state, body)
	sleep(r.Context(), state.late)
	if state.crossed {
		answer = t.cross(answer)
	}
	rw.Header().Set(targetlink.HeaderAttemptID, answer.attempt)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(answer.status)
	_, _ = rw.Write(answer.body) // the caller may have left
}

// admit takes a slot.
func (t *target) admit() (targetState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy >= t.kind.Slots {
		return t.faults, false
	}
	t.busy++
	return t.faults, true
}

func (t *target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
}

// run executes the request and records it. The work goes on when the caller
// leaves; a silent target runs the request, keeps its slot and never answers.
func (t *target) run(r *http.Request, state targetState, body []byte) targetAnswer {
	defer t.release()
	execution := t.execution(r, body)
	index := t.recorder.startExecution(execution)
	status := http.StatusOK
	if state.failing {
		status = http.StatusInternalServerError
	} else {
		sleep(context.Background(), t.serviceTime(state))
	}
	t.recorder.endExecution(index, status)
	if state.silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer, err := json.Marshal(ledger.AnswerBody{
		Request:      execution.Request,
		Organisation: execution.Organisation,
		BodyDigest:   execution.BodyDigest,
		Target:       t.info.ID,
	})
	if err != nil {
		panic(err)
	}
	return targetAnswer{attempt: execution.Attempt, status: status, body: answer}
}

func (t *target) execution(r *http.Request, body []byte) ledger.Execution {
	return ledger.Execution{
		Request:      r.Header.Get(targetlink.HeaderRequestID),
		Attempt:      r.Header.Get(targetlink.HeaderAttemptID),
		Organisation: model.Organisation(r.Header.Get(targetlink.HeaderOrganisation)),
		Target:       t.info.ID,
		Zone:         t.info.Zone,
		Service:      t.info.Service,
		BodyDigest:   ledger.Digest(body),
	}
}

func (t *target) serviceTime(state targetState) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	ms := t.kind.MedianMS * math.Exp(t.random.NormFloat64()*t.kind.Spread) * state.slow
	return time.Duration(ms * float64(time.Millisecond))
}

// cross returns the previous answer in place of the given one.
func (t *target) cross(answer targetAnswer) targetAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.last
	t.last = &answer
	if previous == nil {
		return answer
	}
	return *previous
}

func (t *target) setState(change func(*targetState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.faults.leaving
	change(&t.faults)
	if t.faults.leaving && !left {
		t.recorder.targetLeft(t.info.ID)
	}
}

func (t *target) state() targetState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}
