package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/api"
	"github.com/daisyfold/daisyfold/internal/emulator"
)

// delayTargetResponses makes every target of the service exchange respond one second
// after it has finished its work.
func (h *testHosts) delayTargetResponses() {
	h.t.Helper()
	delayMS := time.Second.Milliseconds()
	faults := emulator.Faults{Targets: []emulator.TargetFault{{Service: "exchange", ResponseDelayMS: &delayMS}}}
	body := bytes.NewReader(must(json.Marshal(faults)))
	resp, err := http.Post(h.platformURL+"/control/faults", "application/json", body)
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		h.t.Fatalf("fault request to the emulator: got status %s", resp.Status)
	}
}

// TestPlannedStopCompletesRequests checks that a planned stop lets a request in progress
// finish. The scenarios cannot detect an aborted request, because their callers retry at
// another host.
func TestPlannedStopCompletesRequests(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	hosts := startTestHosts(t)
	hosts.publish(ctx)
	hosts.delayTargetResponses()
	callDone := make(chan error, 1)
	go func() {
		body := api.CallServiceReq{Data: bytes.NewReader([]byte("in progress"))}
		response, err := hosts.client("quimper-1", "schools-key").CallService(ctx, body, api.CallServiceParams{Service: "exchange"})
		if err == nil {
			_, err = io.ReadAll(response.Response.Data)
		}
		callDone <- err
	}()
	d := hosts.daemons["quimper-1"]
	hosts.waitFor(ctx, "a request in progress", func() bool { return d.calls.Stats().Attempts > 0 })
	close(hosts.stops["quimper-1"])
	if err := <-callDone; err != nil {
		t.Errorf("the request failed during the planned stop: %v", err)
	}
	if !d.stopping.Load() {
		t.Error("the planned stop had not begun when the response arrived")
	}
}
