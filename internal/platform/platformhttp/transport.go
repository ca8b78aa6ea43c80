// Package platformhttp provides the common parts of the clients of the platform's HTTP
// APIs: a transport that counts its traffic, and JSON calls with timeouts.
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
	// idleTimeout is longer than the 10 s between two lease renewals, so that a worker's
	// connection is reused.
	idleTimeout = 25 * time.Second
	// maxIdleConns is enough for a long poll and a second call to each of the 300 workers
	// of a shard. It is also the limit per address, because the emulator serves all
	// workers at one address.
	maxIdleConns = 700
	// connBufferBytes is small because most messages have less than 500 bytes, and a
	// planner keeps 300 connections open while the daemon may use 32 MB of memory.
	connBufferBytes        = 1 << 10
	maxResponseHeaderBytes = 8 << 10
)

// Counters counts the bytes that a client's connections send and receive, including HTTP
// headers.
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
		DialContext:            countingDialer(c),
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// countingDialer returns a dial function whose connections add their traffic to c.
func countingDialer(c Counters) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.CountConn(conn), nil
	}
}

// CountConn returns a connection that adds the traffic of conn to c.
func (c Counters) CountConn(conn net.Conn) net.Conn { return &countingConn{Conn: conn, counters: c} }

// CountListener returns a listener whose connections add their traffic to c.
func (c Counters) CountListener(l net.Listener) net.Listener { return countingListener{l, c} }

// countingListener adds the traffic of its connections to counters.
type countingListener struct {
	net.Listener
	counters Counters
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counters.CountConn(conn), nil
}

// countingConn adds its traffic to counters.
type countingConn struct {
	net.Conn
	counters Counters
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.Received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.Sent.Inc(int64(n))
	return n, err
}
