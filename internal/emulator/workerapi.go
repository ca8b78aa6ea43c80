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
	// maxWorkerBodyBytes limits the body of a worker call. The payload of a job has at
	// most 64 KB, which base64 makes a third larger.
	maxWorkerBodyBytes = 256 << 10
)

// workerHandler decodes the body of one worker call, makes the call and returns the
// response.
type workerHandler func(ctx context.Context, w *worker, body *json.Decoder) (any, error)

// workerHandlers maps the paths of the worker API to handlers.
var workerHandlers = map[string]workerHandler{
	workerlink.PathAcquire:    withResponse((*worker).Acquire),
	workerlink.PathRenew:      withResponse((*worker).Renew),
	workerlink.PathRelease:    withoutResponse((*worker).Release),
	workerlink.PathHold:       withoutResponse((*worker).Hold),
	workerlink.PathStart:      withoutResponse((*worker).Start),
	workerlink.PathConfirm:    withoutResponse((*worker).Confirm),
	workerlink.PathStop:       withResponse((*worker).Stop),
	workerlink.PathCheckpoint: withResponse((*worker).Checkpoint),
	workerlink.PathThrottle:   withoutResponse((*worker).Throttle),
}

// withResponse returns a handler for a method that has a response.
func withResponse[R, A any](method func(*worker, context.Context, R) (A, error)) workerHandler {
	return func(ctx context.Context, w *worker, body *json.Decoder) (any, error) {
		var request R
		if err := body.Decode(&request); err != nil {
			return nil, newError(http.StatusBadRequest, workerlink.CodeBadInput, "body: %v", err)
		}
		return method(w, ctx, request)
	}
}

// withoutResponse returns a handler for a method that returns only an error.
func withoutResponse[R any](method func(*worker, context.Context, R) error) workerHandler {
	return withResponse(func(w *worker, ctx context.Context, r R) (struct{}, error) {
		return struct{}{}, method(w, ctx, r)
	})
}

// serveWorker answers POST /workers/{id}/{call}.
func (e *Emulator) serveWorker(rw http.ResponseWriter, r *http.Request) {
	w := e.workers[model.WorkerID(r.PathValue("id"))]
	handle := workerHandlers["/"+r.PathValue("call")]
	if w == nil || handle == nil {
		http.NotFound(rw, r)
		return
	}
	w.applyCallFaults(r.Context())
	body := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxWorkerBodyBytes))
	response, err := handle(r.Context(), w, body)
	w.applyCallFaults(r.Context())
	if err != nil {
		writeError(rw, err)
		return
	}
	writeJSON(rw, http.StatusOK, response)
}

// applyCallFaults blocks a call while the worker is paused, delays it, and breaks the
// connection if the worker is lost.
func (w *worker) applyCallFaults(ctx context.Context) {
	for {
		w.mu.Lock()
		faults, changed := w.faults, w.changed
		w.mu.Unlock()
		if faults.lost || ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if !faults.paused {
			sleep(ctx, faults.callDelay)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// writeError responds with a workerlink.Error. Any other error means that the caller is
// gone.
func writeError(rw http.ResponseWriter, err error) {
	var workerError *workerlink.Error
	if !errors.As(err, &workerError) {
		panic(http.ErrAbortHandler) // the caller is gone
	}
	writeJSON(rw, workerError.Status, workerError.Body)
}

// writeJSON responds with the body as JSON.
func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header()["Date"] = nil // omitting it saves 37 bytes per renewal
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may be gone
}

// minCompressBytes is the size from which compression reduces traffic.
const minCompressBytes = 512

// writeCompressed is like writeJSON with status 200, but compresses a large body if the
// caller accepts gzip.
func writeCompressed(rw http.ResponseWriter, r *http.Request, body any) {
	data, err := json.Marshal(body)
	if err != nil || len(data) < minCompressBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		writeJSON(rw, http.StatusOK, body)
		return
	}
	rw.Header()["Date"] = nil
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Encoding", "gzip")
	rw.WriteHeader(http.StatusOK)
	compressed := gzip.NewWriter(rw)
	_, _ = compressed.Write(data) // the caller may be gone
	_ = compressed.Close()
}
