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
	targetsPath        = "/targets/"
	maxTargetBodyBytes = 1 << 20
)

// target is one emulated target.
type target struct {
	info     model.Target
	spec     TargetSpec
	recorder *recorder

	mu        sync.Mutex
	rng       *rand.Rand
	faults    targetFaults
	busySlots int
	// previousResponse is the response that the next swapped response sends.
	previousResponse *targetResponse
}

// targetFaults are the faults in force.
type targetFaults struct {
	failing, silent, leaving, swapResponses bool
	serviceTimeFactor                       float64       // factor of the service time; 1 is normal
	responseDelay                           time.Duration // between the end of the work and the response
}

// targetResponse is a response with the attempt ID of its header.
type targetResponse struct {
	attemptID string
	status    int
	body      []byte
}

func newTarget(info model.Target, spec TargetSpec, r *recorder, seed uint64) *target {
	return &target{
		info:     info,
		spec:     spec,
		recorder: r,
		rng:      rand.New(rand.NewPCG(seed, 0)),
		faults:   targetFaults{serviceTimeFactor: 1},
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

// serve answers one call of the target.
func (t *target) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxTargetBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	faults, admitted := t.acquireSlot()
	if faults.leaving {
		rw.Header().Set(targetlink.HeaderLeaving, "true")
	}
	if !admitted {
		rw.Header().Set(targetlink.HeaderNotRun, "true")
		rw.Header().Set(targetlink.HeaderAttemptID, r.Header.Get(targetlink.HeaderAttemptID))
		http.Error(rw, "all slots are in use", http.StatusServiceUnavailable)
		return
	}
	response := t.execute(r, faults, body)
	sleep(r.Context(), faults.responseDelay)
	if faults.swapResponses {
		response = t.swapResponse(response)
	}
	rw.Header().Set(targetlink.HeaderAttemptID, response.attemptID)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(response.status)
	_, _ = rw.Write(response.body) // the caller may be gone
}

// acquireSlot returns the faults in force and whether the request got a slot.
func (t *target) acquireSlot() (targetFaults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busySlots >= t.spec.Slots {
		return t.faults, false
	}
	t.busySlots++
	return t.faults, true
}

func (t *target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busySlots--
}

// execute runs the request and records it in the ledger. The work continues if the
// caller is gone. A silent target does not respond and keeps the slot until the caller is
// gone.
func (t *target) execute(r *http.Request, faults targetFaults, body []byte) targetResponse {
	defer t.releaseSlot()
	execution := t.newExecution(r, body)
	index := t.recorder.startExecution(execution)
	status := http.StatusOK
	if faults.failing {
		status = http.StatusInternalServerError
	} else {
		sleep(context.Background(), t.serviceTime(faults))
	}
	t.recorder.endExecution(index, status)
	if faults.silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	responseBody, err := json.Marshal(ledger.ResponseBody{
		RequestID:    execution.RequestID,
		Organisation: execution.Organisation,
		BodyDigest:   execution.BodyDigest,
		Target:       t.info.ID,
	})
	if err != nil {
		panic(err)
	}
	return targetResponse{attemptID: execution.AttemptID, status: status, body: responseBody}
}

// newExecution returns a new ledger entry for the request.
func (t *target) newExecution(r *http.Request, body []byte) ledger.Execution {
	return ledger.Execution{
		RequestID:    r.Header.Get(targetlink.HeaderRequestID),
		AttemptID:    r.Header.Get(targetlink.HeaderAttemptID),
		Organisation: model.Organisation(r.Header.Get(targetlink.HeaderOrganisation)),
		Target:       t.info.ID,
		Zone:         t.info.Zone,
		Service:      t.info.Service,
		BodyDigest:   ledger.Digest(body),
	}
}

// serviceTime returns a random service time.
func (t *target) serviceTime(faults targetFaults) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	serviceTimeMS := t.spec.ServiceTimeMedianMS * math.Exp(t.rng.NormFloat64()*t.spec.ServiceTimeSigma) * faults.serviceTimeFactor
	return time.Duration(serviceTimeMS * float64(time.Millisecond))
}

// swapResponse stores the response and returns the previous one, or the given one if it
// is the first.
func (t *target) swapResponse(response targetResponse) targetResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.previousResponse
	t.previousResponse = &response
	if previous == nil {
		return response
	}
	return *previous
}

// updateFaults changes the faults, and records the time at which the target starts to
// leave.
func (t *target) updateFaults(change func(*targetFaults)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasLeaving := t.faults.leaving
	change(&t.faults)
	if t.faults.leaving && !wasLeaving {
		t.recorder.recordLeavingTarget(t.info.ID)
	}
}

func (t *target) currentFaults() targetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}
