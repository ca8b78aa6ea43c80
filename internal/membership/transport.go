package membership

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

const (
	dialTimeout = time.Second
	// idleConnTimeout is longer than the time between two calls to the same host of a
	// large zone, so that connections are reused.
	idleConnTimeout = time.Minute
)

// maxResponseBytes is the size limit of a peer's response. The largest responses carry a
// configuration text.
const maxResponseBytes = 1 << 20

// NewHTTPClient returns a client that uses unencrypted HTTP/2. The headers of HTTP/1.1 would
// be most of a heartbeat; the compressed headers of HTTP/2 are a tenth of their size.
func NewHTTPClient(address string) peer.Peer {
	return NewHTTPClientWithDial(address, DialTCP)
}

// DialTCP opens a TCP connection to a peer.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// NewHTTPClientWithDial is like NewHTTPClient but opens connections with dial.
func NewHTTPClientWithDial(address string, dial DialFunc) peer.Peer {
	return NewClient(address, NewHTTPTransport(dial))
}

// NewHTTPTransport returns the transport of one peer with unencrypted HTTP/2 over
// connections that dial opens.
func NewHTTPTransport(dial DialFunc) http.RoundTripper {
	return newReconnectingTransport(func() *http.Transport {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		return &http.Transport{
			DialContext: dial, Protocols: protocols, DisableCompression: true, IdleConnTimeout: idleConnTimeout,
		}
	})
}

// NewTLSTransport returns the transport of one peer with HTTP/2 over TLS connections that
// dial opens.
func NewTLSTransport(dial DialFunc) http.RoundTripper {
	return newReconnectingTransport(func() *http.Transport {
		protocols := new(http.Protocols)
		protocols.SetHTTP2(true)
		return &http.Transport{
			DialTLSContext: dial, Protocols: protocols, DisableCompression: true, IdleConnTimeout: idleConnTimeout,
		}
	})
}

// NewClient returns a client of the peer at a base URL. The transport must not be shared
// with another peer.
func NewClient(address string, transport http.RoundTripper) peer.Peer {
	return peer.NewPeerProtobufClient(address, &http.Client{Transport: transport})
}

// reconnectingTransport does not reuse a connection on which a call failed. HTTP/2 would
// otherwise keep using a connection that no longer answers although new connections work.
// Each peer has its own transport.
type reconnectingTransport struct {
	newTransport func() *http.Transport

	mu      sync.Mutex
	current *http.Transport
}

func newReconnectingTransport(create func() *http.Transport) *reconnectingTransport {
	return &reconnectingTransport{newTransport: create, current: create()}
}

// RoundTrip implements http.RoundTripper. It limits the response body to maxResponseBytes.
func (r *reconnectingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req.Header.Set("User-Agent", "")
	r.mu.Lock()
	t := r.current
	r.mu.Unlock()
	resp, err := t.RoundTrip(req)
	if err != nil {
		r.discard(t)
		return nil, err
	}
	resp.Body = &responseBody{
		Reader: io.LimitReader(resp.Body, maxResponseBytes), Closer: resp.Body,
		onReadError: func() { r.discard(t) },
	}
	return resp, nil
}

// discard replaces the transport t for later calls. Its connection closes when its other
// calls have ended and it has been idle.
func (r *reconnectingTransport) discard(t *http.Transport) {
	r.mu.Lock()
	if r.current == t {
		r.current = r.newTransport()
	}
	r.mu.Unlock()
	t.CloseIdleConnections()
}

// responseBody is a size-limited body that calls onReadError after a failed read.
type responseBody struct {
	io.Reader
	io.Closer
	onReadError func()
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.onReadError()
	}
	return n, err
}
