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

// slowTargets makes every target answer a second after its work.
func (p *pair) slowTargets() {
	p.t.Helper()
	late := time.Second.Milliseconds()
	faults := emulator.Faults{Targets: []emulator.TargetFault{{Service: "exchange", ResponseDelayMS: &late}}}
	body := bytes.NewReader(must(json.Marshal(faults)))
	resp, err := http.Post(p.platform+"/control/faults", "application/json", body)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		p.t.Fatalf("the stand-in answered %s", resp.Status)
	}
}

// TestPlannedStopCutsNoRequest guards against a planned stop that ends a request in
// progress. The scenarios do not see it, because their callers retry elsewhere.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	p := startPair(t)
	p.publish(ctx)
	p.slowTargets()
	answered := make(chan error, 1)
	go func() {
		body := api.CallServiceReq{Data: bytes.NewReader([]byte("in progress"))}
		answer, err := p.client("quimper-1", "schools-key").CallService(ctx, body, api.CallServiceParams{Service: "exchange"})
		if err == nil {
			_, err = io.ReadAll(answer.Response.Data)
		}
		answered <- err
	}()
	d := p.daemons["quimper-1"]
	p.await(ctx, "a request in progress", func() bool { return d.calls.Stats().Attempts > 0 })
	close(p.stops["quimper-1"])
	if err := <-answered; err != nil {
		t.Errorf("the request was cut: %v", err)
	}
	if !d.stopped.Load() {
		t.Error("the stop had not begun when the answer came")
	}
}
