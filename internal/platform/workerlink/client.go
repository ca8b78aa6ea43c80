package workerlink

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/platform/platformhttp"
	"github.com/daisyfold/daisyfold/internal/tracing"
)

// callTimeout bounds every call, in addition to the time that the call itself asks
// the worker to wait.
const callTimeout = 5 * time.Second

// Client is the HTTP client of all workers. It is safe for concurrent use.
type Client struct {
	transport http.RoundTripper
}

// New returns a client whose traffic is counted in the registry as
// "worker.bytes_sent" and "worker.bytes_received".
func New(r metrics.Registry) *Client {
	t := platformhttp.NewTransport(platformhttp.NewCounters(r, "worker"))
	return NewWithTransport(tracing.Transport(tracing.HopWorker, t))
}

// NewWithTransport returns a client that sends its calls through rt.
func NewWithTransport(rt http.RoundTripper) *Client { return &Client{transport: rt} }

// Worker implements Dialer.
func (c *Client) Worker(w model.Worker) Worker {
	return &remote{transport: c.transport, base: strings.TrimSuffix(w.Address, "/")}
}

// remote is one worker.
type remote struct {
	transport http.RoundTripper
	base      string
}

// Acquire implements Worker.
func (w *remote) Acquire(ctx context.Context, r AcquireRequest) (AcquireAnswer, error) {
	return post[AcquireAnswer](ctx, w, PathAcquire, r, 0)
}

// Renew implements Worker.
func (w *remote) Renew(ctx context.Context, r RenewRequest) (RenewAnswer, error) {
	return post[RenewAnswer](ctx, w, PathRenew, r, r.WaitMS)
}

// Release implements Worker.
func (w *remote) Release(ctx context.Context, r ReleaseRequest) error {
	_, err := post[struct{}](ctx, w, PathRelease, r, 0)
	return err
}

// Hold implements Worker.
func (w *remote) Hold(ctx context.Context, r HoldRequest) error {
	_, err := post[struct{}](ctx, w, PathHold, r, 0)
	return err
}

// Start implements Worker.
func (w *remote) Start(ctx context.Context, r StartRequest) error {
	_, err := post[struct{}](ctx, w, PathStart, r, 0)
	return err
}

// Confirm implements Worker.
func (w *remote) Confirm(ctx context.Context, r ConfirmRequest) error {
	_, err := post[struct{}](ctx, w, PathConfirm, r, 0)
	return err
}

// Stop implements Worker.
func (w *remote) Stop(ctx context.Context, r StopRequest) (StopAnswer, error) {
	return post[StopAnswer](ctx, w, PathStop, r, r.GraceMS)
}

// Checkpoint implements Worker.
func (w *remote) Checkpoint(ctx context.Context, r CheckpointRequest) (StopAnswer, error) {
	return post[StopAnswer](ctx, w, PathCheckpoint, r, 0)
}

// Throttle implements Worker.
func (w *remote) Throttle(ctx context.Context, r ThrottleRequest) error {
	_, err := post[struct{}](ctx, w, PathThrottle, r, 0)
	return err
}

// post makes one call that may take waitMS longer than callTimeout.
func post[A any](ctx context.Context, w *remote, path string, body any, waitMS int64) (A, error) {
	var answer A
	got, err := platformhttp.Do(ctx, w.transport, platformhttp.Call{
		Method:  http.MethodPost,
		URL:     w.base + path,
		Body:    body,
		Timeout: callTimeout + time.Duration(waitMS)*time.Millisecond,
	})
	if err != nil {
		return answer, trace.Wrap(err)
	}
	if got.Status >= http.StatusBadRequest {
		return answer, trace.Wrap(refusal(got))
	}
	if len(got.Body) == 0 {
		return answer, nil
	}
	return answer, trace.Wrap(got.Decode(&answer))
}

// refusal returns the *Error of an answer, or an error that leaves the effect open
// when the body is not one of a worker.
func refusal(got platformhttp.Answer) error {
	refused := &Error{Status: got.Status}
	err := json.Unmarshal(got.Body, &refused.Body)
	if err != nil || refused.Body.Code == "" {
		return trace.BadParameter("the worker answered status %d without a code", got.Status)
	}
	return refused
}
