package targetlink

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/tracing"
)

const (
	// maxAnswerBytes bounds an answer; the API's bodies are at most 1 MB.
	maxAnswerBytes = 1 << 20
	// dialTimeout bounds the opening of a connection. Zones are 0.9 ms apart, so
	// 1 s leaves room for one retransmitted SYN but not for a silent target.
	dialTimeout = time.Second
	// idleTimeout closes connections that no call used for this long.
	idleTimeout = 90 * time.Second
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 10 * time.Second
)

// Options configures a client. The zero value is usable.
type Options struct {
	// Hosts returns the number of entry hosts that share a target's connections.
	Hosts func() int
	// Dial replaces the dialer; tests use it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Stats counts what the client saw since it was made.
type Stats struct {
	Calls      int64 // attempts begun
	NotRun     int64 // attempts that certainly did not run
	Mismatched int64 // answers that were discarded because of another attempt id
	Broken     int64 // attempts that ended without a whole answer
}

// Client is the HTTP client to targets. It implements Caller.
type Client struct {
	hosts func() int
	dial  dialFunc

	mu    sync.Mutex
	links map[model.TargetID]*link

	calls, notRun, mismatched, broken atomic.Int64
}

// link holds the connections to one target.
type link struct {
	address   string
	limit     int
	transport *http.Transport
	pool      *sparePool
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	c := &Client{hosts: o.Hosts, dial: o.Dial, links: map[model.TargetID]*link{}}
	if c.hosts == nil {
		c.hosts = func() int { return 1 }
	}
	if c.dial == nil {
		c.dial = (&net.Dialer{KeepAlive: 15 * time.Second}).DialContext
	}
	return c
}

// Stats returns the counters.
func (c *Client) Stats() Stats {
	return Stats{
		Calls:      c.calls.Load(),
		NotRun:     c.notRun.Load(),
		Mismatched: c.mismatched.Load(),
		Broken:     c.broken.Load(),
	}
}

// SetTargets closes the connections to targets that are not in targets. Calls in
// progress on them end normally.
func (c *Client) SetTargets(targets []model.Target) {
	listed := make(map[model.TargetID]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, l := range c.links {
		if !listed[id] {
			l.close()
			delete(c.links, id)
		}
	}
}

// Close closes all idle and spare connections.
func (c *Client) Close() { c.SetTargets(nil) }

// Call implements Caller.
func (c *Client) Call(ctx context.Context, t model.Target, call Call) (Answer, error) {
	c.calls.Add(1)
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	ctx, span := tracing.StartChild(ctx, tracing.HopTarget, attribute.String("target", string(t.ID)))
	a, err := c.call(ctx, t, call)
	tracing.End(span, err)
	c.count(err)
	return a, err
}

func (c *Client) call(ctx context.Context, t model.Target, call Call) (Answer, error) {
	var used *trackedConn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		used, _ = i.Conn.(*trackedConn)
		if used != nil {
			used.begin()
		}
	}}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), t, call)
	if err != nil {
		return Answer{}, &NotRunError{Target: t.ID, Reason: err.Error()}
	}
	l := c.link(t)
	resp, err := l.transport.RoundTrip(req)
	if err != nil {
		err = sendError(t.ID, used, err)
		l.suspect(err)
		return Answer{}, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read or is abandoned
	return readAnswer(t.ID, call.Attempt, used, resp)
}

// sendError decides whether an attempt without an answer can have run. It did not
// if no connection was assigned to it, or if no byte was written to that.
func sendError(id model.TargetID, used *trackedConn, err error) error {
	if used == nil {
		return &NotRunError{Target: id, Reason: "no connection: " + err.Error()}
	}
	if used.seal() {
		return &NotRunError{Target: id, Reason: "nothing was sent: " + err.Error()}
	}
	return fmt.Errorf("target %s: %w", id, err)
}

func newRequest(ctx context.Context, t model.Target, call Call) (*http.Request, error) {
	left := time.Duration(0)
	if d, ok := ctx.Deadline(); ok {
		left = time.Until(d)
	}
	if left <= 0 {
		return nil, context.DeadlineExceeded
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.Address+"/call", bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderRequest, call.Request)
	req.Header.Set(HeaderAttempt, call.Attempt)
	req.Header.Set(HeaderOrganisation, string(call.Organisation))
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.Header.Set("Content-Type", "application/octet-stream")
	tracing.Inject(ctx, req.Header)
	return req, nil
}

// readAnswer reads the whole answer and checks that it belongs to the attempt.
func readAnswer(id model.TargetID, attempt string, used *trackedConn, resp *http.Response) (Answer, error) {
	if got := resp.Header.Get(HeaderAttempt); got != attempt {
		closeConn(used)
		return Answer{}, &AttemptMismatchError{Target: id, Want: attempt, Got: got}
	}
	leaving := resp.Header.Get(HeaderLeaving) == "true"
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true" {
		_, _ = io.CopyN(io.Discard, resp.Body, maxAnswerBytes)
		return Answer{}, &NotRunError{Target: id, Reason: "refused by the target", Leaving: leaving}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.New("larger than 1 MB")
	}
	if err != nil {
		closeConn(used)
		return Answer{}, &RanError{Target: id, Reason: err.Error()}
	}
	return Answer{Status: resp.StatusCode, Body: body, Leaving: leaving}, nil
}

func closeConn(c *trackedConn) {
	if c != nil {
		_ = c.Close()
	}
}

// link returns the connections to t, opened anew if its address or its share of
// connections changed.
func (c *Client) link(t model.Target) *link {
	limit := t.ConnectionsPerHost(c.hosts())
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[t.ID]
	if l != nil && l.address == t.Address && l.limit == limit {
		return l
	}
	if l != nil {
		l.close()
	}
	l = newLink(c.dial, t.Address, limit)
	c.links[t.ID] = l
	return l
}

// newLink reserves one of limit connections for the spare when there are several.
func newLink(dial dialFunc, address string, limit int) *link {
	pool := &sparePool{dial: dial, timeout: dialTimeout, keep: limit > 1}
	conns := limit
	if pool.keep {
		conns--
	}
	return &link{address: address, limit: limit, pool: pool, transport: &http.Transport{
		DialContext:         pool.connect,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// suspect closes the idle connections and the spare after an attempt that may have
// run got no answer: what silenced its connection may have silenced the others, and
// each would cost a call its deadline.
func (l *link) suspect(err error) {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return
	}
	l.transport.CloseIdleConnections()
	l.pool.drop()
}

func (l *link) close() {
	l.pool.close()
	l.transport.CloseIdleConnections()
}

func (c *Client) count(err error) {
	var notRun *NotRunError
	var mismatch *AttemptMismatchError
	switch {
	case err == nil:
	case errors.As(err, &notRun):
		c.notRun.Add(1)
	case errors.As(err, &mismatch):
		c.mismatched.Add(1)
	default:
		c.broken.Add(1)
	}
}
