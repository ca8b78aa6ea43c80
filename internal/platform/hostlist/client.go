package hostlist

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/platform/platformhttp"
)

// fetchTimeout limits one fetch.
const fetchTimeout = 3 * time.Second

// maxListBytes limits the size of a list. A list of 7,500 workers takes 1.5 MB.
const maxListBytes = 16 << 20

// Client is an HTTP client for the host list. It is safe for concurrent use.
type Client struct {
	base      string
	transport http.RoundTripper

	mu   sync.Mutex
	etag string
	last *List
}

// New returns a client of the host list at base, an absolute URL. Its traffic is
// counted in the registry as "hostlist.bytes_sent" and "hostlist.bytes_received".
func New(base string, r metrics.Registry) *Client {
	transport := platformhttp.NewTransport(platformhttp.NewCounters(r, "hostlist"))
	// A list of 7,500 workers takes 1.5 MB, or 0.15 MB compressed, and changes 2,000 times
	// a day.
	transport.DisableCompression = false
	return NewWithTransport(base, transport)
}

// NewWithTransport returns a client that sends its calls through rt.
func NewWithTransport(base string, rt http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), transport: rt}
}

// Fetch implements Source.
func (c *Client) Fetch(ctx context.Context) (*List, bool, error) {
	etag, last := c.lastFetch()
	call := platformhttp.Call{
		Method:      http.MethodGet,
		URL:         c.base + "/hosts",
		IfNoneMatch: etag,
		Timeout:     fetchTimeout,
	}
	list, changed := last, false
	err := platformhttp.Stream(ctx, c.transport, call, func(response *http.Response) error {
		switch response.StatusCode {
		case http.StatusNotModified:
			return nil
		case http.StatusOK:
		default:
			return trace.ConnectionProblem(nil, "the host list returned status %d", response.StatusCode)
		}
		decoded, err := decodeList(io.LimitReader(response.Body, maxListBytes))
		if err != nil {
			return trace.Wrap(err)
		}
		list, changed = decoded, true
		c.setLast(response.Header.Get("ETag"), list)
		return nil
	})
	return list, changed, trace.Wrap(err)
}

func (c *Client) lastFetch() (string, *List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.last
}

func (c *Client) setLast(etag string, list *List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.last = etag, list
}
