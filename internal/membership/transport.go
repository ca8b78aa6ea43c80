package membership

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/daisyfold/daisyfold/internal/rpc/peer"
)

const (
	dialTimeout = time.Second
	// maxAnswerBytes bounds a peer's answer; a configuration text is the largest.
	maxAnswerBytes = 1 << 20
)

// DialHTTP returns a client that speaks unencrypted HTTP/2: its compressed headers
// are a tenth of those of HTTP/1.1 and would otherwise be most of a heartbeat.
func DialHTTP(address string) peer.Peer {
	return Client(address, PlainTransport())
}

// PlainTransport returns the transport of one peer over unencrypted TCP connections.
func PlainTransport() http.RoundTripper {
	return HTTPTransport((&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// DialHTTPOver is DialHTTP over connections that dial opens.
func DialHTTPOver(address string, dial DialFunc) peer.Peer {
	return Client(address, HTTPTransport(dial))
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// HTTPTransport returns the transport of one peer over unencrypted connections.
func HTTPTransport(dial DialFunc) http.RoundTripper {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{DialContext: dial, Protocols: protocols, DisableCompression: true}
	return &freshTransport{t}
}

// TLSTransport returns the transport of one peer over connections that dial opens with
// TLS and HTTP/2.
func TLSTransport(dial DialFunc) http.RoundTripper {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	t := &http.Transport{DialTLSContext: dial, Protocols: protocols, DisableCompression: true}
	return &freshTransport{t}
}

// Client returns a client of the peer at a base URL. The transport must not be shared
// with another peer.
func Client(address string, transport http.RoundTripper) peer.Peer {
	return peer.NewPeerProtobufClient(address, &http.Client{Transport: transport})
}

// freshTransport closes the peer's connection after a failed call. HTTP/2 would
// reuse a silent connection while new ones work. Each peer has its own transport.
type freshTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *freshTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req.Header.Set("User-Agent", "")
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		t.CloseIdleConnections()
		return nil, err
	}
	resp.Body = &boundedBody{io.LimitReader(resp.Body, maxAnswerBytes), resp.Body}
	return resp, nil
}

type boundedBody struct {
	io.Reader
	io.Closer
}
