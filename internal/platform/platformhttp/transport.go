// Package platformhttp holds what the platform's HTTP clients share: a transport
// that counts its bytes and JSON calls whose every wait is bounded.
package platformhttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Limits of the transport.
const (
	dialTimeout = 2 * time.Second
	keepAlive   = 15 * time.Second
	// idleTimeout is longer than the 10 s between two renewals, so that a worker's
	// connection is reused.
	idleTimeout = 25 * time.Second
	// maxIdle covers a long poll and a second call to each of the 300 workers of a
	// shard. The stand-in serves all workers at one address, so the bound per
	// address is the same.
	maxIdle = 700
	// bufferBytes is small because most messages are below 500 bytes and a planner
	// keeps 300 connections open within a daemon of 32 MB.
	bufferBytes        = 1 << 10
	maxResponseHeaders = 8 << 10
)

// Counters count the bytes of a client's connections, HTTP headers included.
type Counters struct {
	Sent     metrics.Counter
	Received metrics.Counter
}

// NewCounters registers the counters "prefix.bytes_sent" and
// "prefix.bytes_received". A nil registry means the default registry.
func NewCounters(r metrics.Registry, prefix string) Counters {
	return Counters{
		Sent:     metrics.GetOrRegisterCounter(prefix+".bytes_sent", r),
		Received: metrics.GetOrRegisterCounter(prefix+".bytes_received", r),
	}
}

// NewTransport returns a transport that adds its traffic to c.
func NewTransport(c Counters) *http.Transport {
	return &http.Transport{
		DialContext:            countedDial(c),
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		MaxResponseHeaderBytes: maxResponseHeaders,
	}
}

// countedDial returns a dial function whose connections add their traffic to c.
func countedDial(c Counters) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.Count(conn), nil
	}
}

// Count returns conn with its traffic added to c.
func (c Counters) Count(conn net.Conn) net.Conn { return &countedConn{Conn: conn, counters: c} }

// Listener returns l with the traffic of its connections added to c.
func (c Counters) Listener(l net.Listener) net.Listener { return countedListener{l, c} }

type countedListener struct {
	net.Listener
	counters Counters
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counters.Count(conn), nil
}

// countedConn adds the bytes of a connection to counters.
type countedConn struct {
	net.Conn
	counters Counters
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.Received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.Sent.Inc(int64(n))
	return n, err
}
