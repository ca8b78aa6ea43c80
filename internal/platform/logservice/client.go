package logservice

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/platform/platformhttp"
)

// callTimeout limits every call, in addition to the time for which a read asks the
// service to wait.
const callTimeout = 5 * time.Second

// ErrNotApplied means that an append did not take effect and never will.
var ErrNotApplied = errors.New("the append did not take effect")

// Client is an HTTP client for the log service. It is safe for concurrent use.
type Client struct {
	base      string
	transport http.RoundTripper
}

// New returns a client of the log service at base, an absolute URL. Its traffic is
// counted in the registry as "log.bytes_sent" and "log.bytes_received".
func New(base string, r metrics.Registry) *Client {
	transport := platformhttp.NewTransport(platformhttp.NewCounters(r, "log"))
	// Every host reads every configuration text, whose record in a large deployment takes
	// 50 KB, or 5 KB compressed.
	transport.DisableCompression = false
	return NewWithTransport(base, transport)
}

// NewWithTransport returns a client that sends its calls through rt.
func NewWithTransport(base string, rt http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), transport: rt}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	response, err := platformhttp.Do(ctx, c.transport, platformhttp.Call{
		Method:  http.MethodPost,
		URL:     c.streamURL(stream) + "/append",
		Body:    AppendRequest{Records: records},
		Timeout: callTimeout,
	})
	if err != nil {
		return 0, appendError(err)
	}
	if err := appendStatusError(response.Status); err != nil {
		return 0, trace.Wrap(err)
	}
	var decoded AppendResponse
	if err := response.Decode(&decoded); err != nil {
		return 0, trace.Wrap(err)
	}
	return decoded.First, nil
}

// appendError returns the error of an append without a response. It wraps ErrNotApplied if
// no byte was sent.
func appendError(err error) error {
	var unsent *platformhttp.UnsentError
	if errors.As(err, &unsent) {
		return trace.Wrap(fmt.Errorf("%w: %w", ErrNotApplied, err))
	}
	return trace.Wrap(err)
}

// appendStatusError returns the error for the HTTP status of an append, or nil. Status 503
// and every 4xx status mean that the append was refused, so they wrap ErrNotApplied.
func appendStatusError(status int) error {
	switch {
	case status < http.StatusBadRequest:
		return nil
	case status == http.StatusServiceUnavailable || status < http.StatusInternalServerError:
		return fmt.Errorf("%w: the log service returned status %d", ErrNotApplied, status)
	default:
		return fmt.Errorf("the log service returned status %d", status)
	}
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration, limit int) (Batch, error) {
	query := fmt.Sprintf("?from=%d&wait=%d&max=%d", from, wait.Milliseconds(), limit)
	response, err := platformhttp.Do(ctx, c.transport, platformhttp.Call{
		Method:  http.MethodGet,
		URL:     c.streamURL(stream) + "/records" + query,
		Timeout: callTimeout + wait,
	})
	if err != nil {
		return Batch{}, trace.Wrap(err)
	}
	if response.Status != http.StatusOK {
		return Batch{}, trace.ConnectionProblem(nil, "the log service returned status %d", response.Status)
	}
	var batch Batch
	if err := response.Decode(&batch); err != nil {
		return Batch{}, trace.Wrap(err)
	}
	return batch, nil
}

func (c *Client) streamURL(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream)
}
