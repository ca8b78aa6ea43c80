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

// fetchTimeout bounds one fetch.
const fetchTimeout = 3 * time.Second

// maxListBytes bounds a list, several times that of the design size.
const maxListBytes = 16 << 20

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
	transport := platformhttp.NewTransport(platformhttp.NewCounters(r, "hostlist"))
	// A list of 7,500 workers has 1.5 MB, a tenth of that compressed, and changes
	// 2,000 times a day.
	transport.DisableCompression = false
	return NewWithTransport(base, transport)
}

// NewWithTransport returns a client that sends its calls through rt.
func NewWithTransport(base string, rt http.RoundTripper) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), transport: rt}
}

// Fetch implements Source.
func (c *Client) Fetch(ctx context.Context) (*List, bool, error) {
	tag, last := c.current()
	call := platformhttp.Call{
		Method:      http.MethodGet,
		URL:         c.base + "/hosts",
		IfNoneMatch: tag,
		Timeout:     fetchTimeout,
	}
	list, changed := last, false
	err := platformhttp.Stream(ctx, c.transport, call, func(response *http.Response) error {
		switch response.StatusCode {
		case http.StatusNotModified:
			return nil
		case http.StatusOK:
		default:
			return trace.ConnectionProblem(nil, "the host list answered status %d", response.StatusCode)
		}
		read, err := decode(io.LimitReader(response.Body, maxListBytes))
		if err != nil {
			return trace.Wrap(err)
		}
		list, changed = read, true
		c.store(response.Header.Get("ETag"), list)
		return nil
	})
	return list, changed, trace.Wrap(err)
}

func (c *Client) current() (string, *List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, c.last
}

func (c *Client) store(tag string, list *List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag, c.last = tag, list
}
