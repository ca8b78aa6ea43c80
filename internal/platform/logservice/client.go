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

// callTimeout bounds every call, in addition to the wait that a read asks for.
const callTimeout = 5 * time.Second

// ErrNotApplied reports that an append did not take effect and never will.
var ErrNotApplied = errors.New("the append did not take effect")

// Client is the HTTP client of the log service. It is safe for concurrent use.
type Client struct {
	base      string
	transport http.RoundTripper
}

// New returns a client of the log service at base, an absolute URL. Its traffic is
// counted in the registry as "log.bytes_sent" and "log.bytes_received".
func New(base string, r metrics.Registry) *Client {
	transport := platformhttp.NewTransport(platformhttp.NewCounters(r, "log"))
	// Every host reads every configuration text, 50 KB as a record of the design
	// size and a tenth of that compressed.
	transport.DisableCompression = false
	return NewWithTransport(base, transport)
}

// NewWithTransport returns a client that sends its calls through rt.
func NewWithTransport(base string, rt http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), transport: rt}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	got, err := platformhttp.Do(ctx, c.transport, platformhttp.Call{
		Method:  http.MethodPost,
		URL:     c.streamURL(stream) + "/append",
		Body:    AppendRequest{Records: records},
		Timeout: callTimeout,
	})
	if err != nil {
		return 0, appendError(err)
	}
	if err := appendStatus(got.Status); err != nil {
		return 0, trace.Wrap(err)
	}
	var answer AppendAnswer
	if err := got.Decode(&answer); err != nil {
		return 0, trace.Wrap(err)
	}
	return answer.First, nil
}

// appendError wraps ErrNotApplied around an error when no byte was sent.
func appendError(err error) error {
	var unsent *platformhttp.UnsentError
	if errors.As(err, &unsent) {
		return trace.Wrap(fmt.Errorf("%w: %w", ErrNotApplied, err))
	}
	return trace.Wrap(err)
}

// appendStatus maps the status of an append's answer to an error. A 4xx status
// other than 429 is a refusal of the request itself, so it has no effect either.
func appendStatus(status int) error {
	switch {
	case status < http.StatusBadRequest:
		return nil
	case status == http.StatusServiceUnavailable || status < http.StatusInternalServerError:
		return fmt.Errorf("%w: the log service answered status %d", ErrNotApplied, status)
	default:
		return fmt.Errorf("the log service answered status %d", status)
	}
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration, max int) (Batch, error) {
	query := fmt.Sprintf("?from=%d&wait=%d&max=%d", from, wait.Milliseconds(), max)
	got, err := platformhttp.Do(ctx, c.transport, platformhttp.Call{
		Method:  http.MethodGet,
		URL:     c.streamURL(stream) + "/records" + query,
		Timeout: callTimeout + wait,
	})
	if err != nil {
		return Batch{}, trace.Wrap(err)
	}
	if got.Status != http.StatusOK {
		return Batch{}, trace.ConnectionProblem(nil, "the log service answered status %d", got.Status)
	}
	var batch Batch
	if err := got.Decode(&batch); err != nil {
		return Batch{}, trace.Wrap(err)
	}
	return batch, nil
}

func (c *Client) streamURL(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream)
}
