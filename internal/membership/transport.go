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
	// idleTimeout is longer than the time between two calls to a host of a large
	// zone, so that connections are kept.
	idleTimeout = time.Minute
	// maxAnswerBytes bounds a peer's answer; a configuration text is the largest.
	maxAnswerBytes = 1 << 20
)

// DialHTTP returns a client that speaks unencrypted HTTP/2: its compressed headers
// are a tenth of those of HTTP/1.1 and would otherwise be most of a heartbeat.
func DialHTTP(address string) peer.Peer {
	return DialHTTPOver(address, DialTCP)
}

// DialTCP opens a TCP connection to a peer.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

// Dial opens a connection.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// DialHTTPOver is DialHTTP over connections that dial opens.
func DialHTTPOver(address string, dial Dial) peer.Peer {
	return Client(address, HTTPTransport(dial))
}

// HTTPTransport returns the transport of one peer over unencrypted connections.
func HTTPTransport(dial Dial) http.RoundTripper {
	return newFreshTransport(func() *http.Transport {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		return &http.Transport{
			DialContext: dial, Protocols: protocols, DisableCompression: true, IdleConnTimeout: idleTimeout,
		}
	})
}

// TLSTransport returns the transport of one peer over connections that dial opens with
// TLS and HTTP/2.
func TLSTransport(dial Dial) http.RoundTripper {
	return newFreshTransport(func() *http.Transport {
		protocols := new(http.Protocols)
		protocols.SetHTTP2(true)
		return &http.Transport{
			DialTLSContext: dial, Protocols: protocols, DisableCompression: true, IdleConnTimeout: idleTimeout,
		}
	})
}

// Client returns a client of the peer at a base URL. The transport must not be shared
// with another peer.
func Client(address string, transport http.RoundTripper) peer.Peer {
	return peer.NewPeerProtobufClient(address, &http.Client{Transport: transport})
}

// freshTransport never uses a connection again on which a call failed: HTTP/2 would
// go on with a silent connection while new ones work. Each peer has its own.
type freshTransport struct {
	create func() *http.Transport

	mu      sync.Mutex
	current *http.Transport
}

func newFreshTransport(create func() *http.Transport) *freshTransport {
	return &freshTransport{create: create, current: create()}
}

// RoundTrip implements http.RoundTripper.
func (f *freshTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req.Header.Set("User-Agent", "")
	f.mu.Lock()
	t := f.current
	f.mu.Unlock()
	resp, err := t.RoundTrip(req)
	if err != nil {
		f.replace(t)
		return nil, err
	}
	resp.Body = &answerBody{
		Reader: io.LimitReader(resp.Body, maxAnswerBytes), Closer: resp.Body,
		failed: func() { f.replace(t) },
	}
	return resp, nil
}

// replace retires a transport. Its connection closes when its other calls end and
// it has been idle.
func (f *freshTransport) replace(t *http.Transport) {
	f.mu.Lock()
	if f.current == t {
		f.current = f.create()
	}
	f.mu.Unlock()
	t.CloseIdleConnections()
}

// answerBody is a bounded body that reports a failed read.
type answerBody struct {
	io.Reader
	io.Closer
	failed func()
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed()
	}
	return n, err
}
