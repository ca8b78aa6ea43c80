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
	// maxResponseBytes limits a response body; the API allows bodies of at most 1 MB.
	maxResponseBytes = 1 << 20
	// dialTimeout limits the opening of a connection. The latency between zones is
	// 0.9 ms, so 1 s is enough for one retransmitted SYN without waiting long for a
	// target that does not respond.
	dialTimeout = time.Second
	// idleTimeout is how long a connection stays open without a call.
	idleTimeout = 90 * time.Second
	// defaultCallTimeout limits a call whose context has no deadline.
	defaultCallTimeout = 10 * time.Second
)

// Options configures a Client. The zero value is valid.
type Options struct {
	// HostCount returns the number of entry hosts that share a target's connections; nil
	// means one host.
	HostCount func() int
	// Dial replaces the default dialer in tests; nil means the default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Stats holds the counters of a Client since its creation. NotRun, AttemptMismatches and
// NoResponse do not overlap.
type Stats struct {
	Calls             int64 // attempts begun
	NotRun            int64 // attempts that certainly did not run
	AttemptMismatches int64 // responses that were discarded because they had another attempt id
	NoResponse        int64 // other attempts that ended without a complete response
}

// Client is an HTTP client for all targets. It implements Caller and is safe for
// concurrent use.
type Client struct {
	hostCount func() int
	dial      dialFunc

	mu      sync.Mutex
	targets map[model.TargetID]*targetConnections

	calls, notRun, attemptMismatches, noResponse atomic.Int64
}

// targetConnections holds the connections to one target.
type targetConnections struct {
	address   string
	maxConns  int
	transport *http.Transport
	spares    *spareDialer
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	c := &Client{hostCount: o.HostCount, dial: o.Dial, targets: map[model.TargetID]*targetConnections{}}
	if c.hostCount == nil {
		c.hostCount = func() int { return 1 }
	}
	if c.dial == nil {
		c.dial = (&net.Dialer{KeepAlive: 15 * time.Second}).DialContext
	}
	return c
}

// Stats returns the current counters.
func (c *Client) Stats() Stats {
	return Stats{
		Calls:             c.calls.Load(),
		NotRun:            c.notRun.Load(),
		AttemptMismatches: c.attemptMismatches.Load(),
		NoResponse:        c.noResponse.Load(),
	}
}

// SetTargets closes the idle and spare connections to targets that are not in targets.
// Calls in progress end normally.
func (c *Client) SetTargets(targets []model.Target) {
	listed := make(map[model.TargetID]bool, len(targets))
	for _, t := range targets {
		listed[t.ID] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, conns := range c.targets {
		if !listed[id] {
			conns.close()
			delete(c.targets, id)
		}
	}
}

// Close closes all idle and spare connections.
func (c *Client) Close() { c.SetTargets(nil) }

// Call implements Caller.
func (c *Client) Call(ctx context.Context, t model.Target, call Call) (Response, error) {
	c.calls.Add(1)
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	ctx, span := tracing.StartChild(ctx, tracing.HopTarget, attribute.String("target", string(t.ID)))
	response, err := c.call(ctx, t, call)
	tracing.End(span, err)
	c.count(err)
	return response, err
}

func (c *Client) call(ctx context.Context, t model.Target, call Call) (Response, error) {
	var conn *trackedConn
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn, _ = i.Conn.(*trackedConn)
		if conn != nil {
			conn.startAttempt()
		}
	}}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), t, call)
	if err != nil {
		return Response{}, &NotRunError{Target: t.ID, Reason: err.Error()}
	}
	conns := c.connections(t)
	resp, err := conns.transport.RoundTrip(req)
	if err != nil {
		err = sendError(t.ID, conn, err)
		conns.closeIdleAfter(err)
		return Response{}, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read or is discarded
	return readResponse(t.ID, call.AttemptID, conn, resp)
}

// sendError returns the error of an attempt that got no response: a *NotRunError if no
// connection was assigned to it or no byte was written to the connection, otherwise an
// error that wraps err, because the attempt may have run.
func sendError(id model.TargetID, conn *trackedConn, err error) error {
	if conn == nil {
		return &NotRunError{Target: id, Reason: "no connection: " + err.Error()}
	}
	if conn.abort() {
		return &NotRunError{Target: id, Reason: "nothing was sent: " + err.Error()}
	}
	return fmt.Errorf("target %s: %w", id, err)
}

// newRequest returns the HTTP request of a call. ctx must have a deadline.
func newRequest(ctx context.Context, t model.Target, call Call) (*http.Request, error) {
	remaining := time.Duration(0)
	if d, ok := ctx.Deadline(); ok {
		remaining = time.Until(d)
	}
	if remaining <= 0 {
		return nil, context.DeadlineExceeded
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.Address+"/call", bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderAttemptID, call.AttemptID)
	req.Header.Set(HeaderOrganisation, string(call.Organisation))
	req.Header.Set(HeaderDeadlineMS, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	req.Header.Set("Content-Type", "application/octet-stream")
	tracing.Inject(ctx, req.Header)
	return req, nil
}

// readResponse reads the complete response and checks that it belongs to the attempt.
func readResponse(id model.TargetID, attempt string, conn *trackedConn, resp *http.Response) (Response, error) {
	if got := resp.Header.Get(HeaderAttemptID); got != attempt {
		closeConn(conn)
		return Response{}, &AttemptMismatchError{Target: id, Want: attempt, Got: got}
	}
	leaving := resp.Header.Get(HeaderLeaving) == "true"
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true" {
		_, _ = io.CopyN(io.Discard, resp.Body, maxResponseBytes)
		return Response{}, &NotRunError{Target: id, Reason: "refused by the target", Leaving: leaving}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.New("response larger than 1 MB")
	}
	if err != nil {
		closeConn(conn)
		return Response{}, &ResponseLostError{Target: id, Reason: err.Error()}
	}
	return Response{Status: resp.StatusCode, Body: body, Leaving: leaving}, nil
}

func closeConn(c *trackedConn) {
	if c != nil {
		_ = c.Close()
	}
}

// connections returns the connections to t. It replaces them if t's address or this
// host's share of t's connections changed.
func (c *Client) connections(t model.Target) *targetConnections {
	maxConns := t.ConnectionsPerHost(c.hostCount())
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.targets[t.ID]
	if conns != nil && conns.address == t.Address && conns.maxConns == maxConns {
		return conns
	}
	if conns != nil {
		conns.close()
	}
	conns = newTargetConnections(c.dial, t.Address, maxConns)
	c.targets[t.ID] = conns
	return conns
}

// newTargetConnections returns the connections to a target, at most maxConns. If maxConns
// is above 1, one of them is reserved for the spare connection.
func newTargetConnections(dial dialFunc, address string, maxConns int) *targetConnections {
	spares := &spareDialer{dial: dial, dialTimeout: dialTimeout, enabled: maxConns > 1}
	transportConns := maxConns
	if spares.enabled {
		transportConns--
	}
	return &targetConnections{address: address, maxConns: maxConns, spares: spares, transport: &http.Transport{
		DialContext:         spares.dialContext,
		MaxConnsPerHost:     transportConns,
		MaxIdleConnsPerHost: transportConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// closeIdleAfter closes the idle connections and the spare after an attempt that failed
// with err, unless the attempt certainly did not run. What stopped the traffic on its
// connection may have stopped it on the others, and each of them would make one more
// call miss its deadline.
func (t *targetConnections) closeIdleAfter(err error) {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return
	}
	t.transport.CloseIdleConnections()
	t.spares.closeSpare()
}

func (t *targetConnections) close() {
	t.spares.close()
	t.transport.CloseIdleConnections()
}

func (c *Client) count(err error) {
	var notRun *NotRunError
	var mismatch *AttemptMismatchError
	switch {
	case err == nil:
	case errors.As(err, &notRun):
		c.notRun.Add(1)
	case errors.As(err, &mismatch):
		c.attemptMismatches.Add(1)
	default:
		c.noResponse.Add(1)
	}
}
