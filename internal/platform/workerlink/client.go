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

// callTimeout limits every call, in addition to the time for which the call asks the
// worker to wait.
const callTimeout = 5 * time.Second

// Client is an HTTP client for all workers. It is safe for concurrent use.
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
	return &workerClient{transport: c.transport, base: strings.TrimSuffix(w.Address, "/")}
}

// workerClient is the client of one worker.
type workerClient struct {
	transport http.RoundTripper
	base      string
}

// Acquire implements Worker.
func (w *workerClient) Acquire(ctx context.Context, r AcquireRequest) (AcquireResponse, error) {
	return post[AcquireResponse](ctx, w, PathAcquire, r, 0)
}

// Renew implements Worker.
func (w *workerClient) Renew(ctx context.Context, r RenewRequest) (RenewResponse, error) {
	return post[RenewResponse](ctx, w, PathRenew, r, r.WaitMS)
}

// Release implements Worker.
func (w *workerClient) Release(ctx context.Context, r ReleaseRequest) error {
	_, err := post[struct{}](ctx, w, PathRelease, r, 0)
	return err
}

// Hold implements Worker.
func (w *workerClient) Hold(ctx context.Context, r HoldRequest) error {
	_, err := post[struct{}](ctx, w, PathHold, r, 0)
	return err
}

// Start implements Worker.
func (w *workerClient) Start(ctx context.Context, r StartRequest) error {
	_, err := post[struct{}](ctx, w, PathStart, r, 0)
	return err
}

// Confirm implements Worker.
func (w *workerClient) Confirm(ctx context.Context, r ConfirmRequest) error {
	_, err := post[struct{}](ctx, w, PathConfirm, r, 0)
	return err
}

// Stop implements Worker.
func (w *workerClient) Stop(ctx context.Context, r StopRequest) (StopResponse, error) {
	return post[StopResponse](ctx, w, PathStop, r, r.GraceMS)
}

// Checkpoint implements Worker.
func (w *workerClient) Checkpoint(ctx context.Context, r CheckpointRequest) (StopResponse, error) {
	return post[StopResponse](ctx, w, PathCheckpoint, r, 0)
}

// Throttle implements Worker.
func (w *workerClient) Throttle(ctx context.Context, r ThrottleRequest) error {
	_, err := post[struct{}](ctx, w, PathThrottle, r, 0)
	return err
}

// post makes one call, whose timeout is callTimeout plus waitMS milliseconds, and decodes
// the response body.
func post[R any](ctx context.Context, w *workerClient, path string, body any, waitMS int64) (R, error) {
	var decoded R
	response, err := platformhttp.Do(ctx, w.transport, platformhttp.Call{
		Method:  http.MethodPost,
		URL:     w.base + path,
		Body:    body,
		Timeout: callTimeout + time.Duration(waitMS)*time.Millisecond,
	})
	if err != nil {
		return decoded, trace.Wrap(err)
	}
	if response.Status >= http.StatusBadRequest {
		return decoded, trace.Wrap(refusalError(response))
	}
	if len(response.Body) == 0 {
		return decoded, nil
	}
	return decoded, trace.Wrap(response.Decode(&decoded))
}

// refusalError returns the *Error in a response. If the body is not an ErrorBody with a
// code, it returns another error, after which the call may have taken effect.
func refusalError(response platformhttp.Response) error {
	refused := &Error{Status: response.Status}
	err := json.Unmarshal(response.Body, &refused.Body)
	if err != nil || refused.Body.Code == "" {
		return trace.BadParameter("the worker returned status %d without an error code", response.Status)
	}
	return refused
}
