package hostlist

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/platform/platformhttp"
)

// fetchTimeout bounds one fetch.
const fetchTimeout = 3 * time.Second

// Client is the HTTP client of the host list. It is safe for concurrent use.
type Client struct {
	base      string
	transport http.RoundTripper

	mu   sync.Mutex
	tag  string
	last *List
}

// New returns a client of the host list at base, an absolute URL. Its traffic is
// counted in the registry as "hostlist.bytes_sent" and "hostlist.bytes_received".
func New(base string, r metrics.Registry) *Client {
	counters := platformhttp.NewCounters(r, "hostlist")
	return NewWithTransport(base, platformhttp.NewTransport(counters))
}

// NewWithTransport returns a client that sends its calls through rt.
func NewWithTransport(base string, rt http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), transport: rt}
}

// Fetch implements Source.
func (c *Client) Fetch(ctx context.Context) (*List, bool, error) {
	tag, last := c.current()
	got, err := platformhttp.Do(ctx, c.transport, platformhttp.Call{
		Method:      http.MethodGet,
		URL:         c.base + "/hosts",
		IfNoneMatch: tag,
		Timeout:     fetchTimeout,
	})
	if err != nil {
		return last, false, trace.Wrap(err)
	}
	switch got.Status {
	case http.StatusNotModified:
		return last, false, nil
	case http.StatusOK:
		return c.store(got)
	default:
		return last, false, trace.ConnectionProblem(nil, "the host list answered status %d", got.Status)
	}
}

func (c *Client) current() (string, *List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, c.last
}

func (c *Client) store(got platformhttp.Answer) (*List, bool, error) {
	list := &List{}
	if err := got.Decode(list); err != nil {
		return nil, false, trace.Wrap(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag, c.last = got.ETag, list
	return list, true, nil
}
