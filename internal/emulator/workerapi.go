package emulator

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/workerlink"
)

const (
	workersPath = "/workers/"
	// maxWorkerBody bounds the body of a worker call: a job's payload is at most
	// 64 KB, a third more in base64.
	maxWorkerBody = 256 << 10
)

// workerCall decodes the body of one worker call and makes it.
type workerCall func(ctx context.Context, w *worker, body *json.Decoder) (any, error)

// workerCalls maps the paths of the worker API to calls.
var workerCalls = map[string]workerCall{
	workerlink.PathAcquire:    answering((*worker).Acquire),
	workerlink.PathRenew:      answering((*worker).Renew),
	workerlink.PathRelease:    acting((*worker).Release),
	workerlink.PathHold:       acting((*worker).Hold),
	workerlink.PathStart:      acting((*worker).Start),
	workerlink.PathConfirm:    acting((*worker).Confirm),
	workerlink.PathStop:       answering((*worker).Stop),
	workerlink.PathCheckpoint: answering((*worker).Checkpoint),
	workerlink.PathThrottle:   acting((*worker).Throttle),
}

func answering[R, A any](method func(*worker, context.Context, R) (A, error)) workerCall {
	return func(ctx context.Context, w *worker, body *json.Decoder) (any, error) {
		var request R
		if err := body.Decode(&request); err != nil {
			return nil, refuse(http.StatusBadRequest, workerlink.CodeBadInput, "body: %v", err)
		}
		return method(w, ctx, request)
	}
}

func acting[R any](method func(*worker, context.Context, R) error) workerCall {
	return answering(func(w *worker, ctx context.Context, r R) (struct{}, error) {
		return struct{}{}, method(w, ctx, r)
	})
}

// serveWorker answers POST /workers/{id}/{call}.
func (e *Emulator) serveWorker(rw http.ResponseWriter, r *http.Request) {
	w := e.workers[model.WorkerID(r.PathValue("id"))]
	call := workerCalls["/"+r.PathValue("call")]
	if w == nil || call == nil {
		http.NotFound(rw, r)
		return
	}
	w.gate(r.Context())
	body := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxWorkerBody))
	answer, err := call(r.Context(), w, body)
	w.gate(r.Context())
	if err != nil {
		writeRefusal(rw, err)
		return
	}
	writeJSON(rw, http.StatusOK, answer)
}

// gate holds a call back while the worker is paused, delays it, and breaks the
// connection when the worker is lost.
func (w *worker) gate(ctx context.Context) {
	for {
		w.mu.Lock()
		state, changed := w.faults, w.changed
		w.mu.Unlock()
		if state.lost || ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if !state.paused {
			sleep(ctx, state.delay)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func writeRefusal(rw http.ResponseWriter, err error) {
	var refused *workerlink.Error
	if !errors.As(err, &refused) {
		panic(http.ErrAbortHandler) // the caller left
	}
	writeJSON(rw, refused.Status, refused.Body)
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header()["Date"] = nil // 37 bytes less in each renewal
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have left
}

// compressFrom is the size in bytes from which compression saves traffic.
const compressFrom = 512

// writeCompressed is writeJSON for answers that can be large: it compresses them if
// the caller accepts that.
func writeCompressed(rw http.ResponseWriter, r *http.Request, body any) {
	data, err := json.Marshal(body)
	if err != nil || len(data) < compressFrom || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		writeJSON(rw, http.StatusOK, body)
		return
	}
	rw.Header()["Date"] = nil
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Encoding", "gzip")
	rw.WriteHeader(http.StatusOK)
	compressed := gzip.NewWriter(rw)
	_, _ = compressed.Write(data) // the caller may have left
	_ = compressed.Close()
}
