package auth

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/daisyfold/daisyfold/internal/settings"
	"github.com/gravitational/trace"
)

// fileState tells one version of a file from the next.
type fileState struct {
	modified time.Time
	size     int64
}

func stateOf(name string) (fileState, error) {
	info, err := os.Stat(name)
	if err != nil {
		return fileState{}, err
	}
	return fileState{info.ModTime(), info.Size()}, nil
}

// reloader keeps a value that is read from files and reads it again after one of the
// files changed. While the files cannot be read, the last good value stays in use.
type reloader[T any] struct {
	files []string
	load  func() (T, error)

	mu     sync.Mutex
	states []fileState
	value  T
	loaded bool
}

// get returns the current value.
func (r *reloader[T]) get() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	states, err := r.currentStates()
	if err == nil && r.loaded && equalStates(states, r.states) {
		return r.value, nil
	}
	if err == nil {
		err = r.reload(states)
	}
	if r.loaded {
		return r.value, nil
	}
	return r.value, err
}

func (r *reloader[T]) reload(states []fileState) error {
	value, err := r.load()
	if err != nil {
		return err
	}
	r.value, r.states, r.loaded = value, states, true
	return nil
}

func (r *reloader[T]) currentStates() ([]fileState, error) {
	states := make([]fileState, len(r.files))
	for i, name := range r.files {
		state, err := stateOf(name)
		if err != nil {
			return nil, err
		}
		states[i] = state
	}
	return states, nil
}

func equalStates(a, b []fileState) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}

func newCertReloader(certFile, keyFile string) *reloader[*tls.Certificate] {
	return &reloader[*tls.Certificate]{
		files: []string{certFile, keyFile},
		load: func() (*tls.Certificate, error) {
			cert, err := tls.LoadX509KeyPair(certFile, keyFile)
			return &cert, err
		},
	}
}

func newPoolReloader(caFile string) *reloader[*x509.CertPool] {
	return &reloader[*x509.CertPool]{
		files: []string{caFile},
		load:  func() (*x509.CertPool, error) { return loadPool(caFile) },
	}
}

func loadPool(caFile string) (*x509.CertPool, error) {
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, trace.BadParameter("%s holds no certificate", caFile)
	}
	return pool, nil
}

// CallerTLS returns the TLS configuration of the API for callers, or nil when the
// settings ask for plain HTTP.
func CallerTLS(s settings.TLS) (*tls.Config, error) {
	if s.CertFile == "" {
		return nil, nil
	}
	certs := newCertReloader(s.CertFile, s.KeyFile)
	if _, err := certs.get(); err != nil {
		return nil, trace.Wrap(err, "certificate for callers")
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certs.get() },
	}, nil
}

// DialFunc opens a connection, as http.Transport.DialTLSContext wants it.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// PeerTLS holds the two sides of mutual TLS between daemons: Server is for the
// listener, Dial for http.Transport.DialTLSContext. Both sides negotiate HTTP/2, so
// the transport must speak it.
type PeerTLS struct {
	Server *tls.Config
	Dial   DialFunc
	client func(address string) (*tls.Config, error)
}

// NewPeerTLS returns mutual TLS between daemons, or nil when the settings ask for
// plain HTTP. Both sides accept only certificates that the authorities in peerCAFile
// signed.
func NewPeerTLS(s settings.TLS) (*PeerTLS, error) {
	if s.PeerCertFile == "" {
		return nil, nil
	}
	certs := newCertReloader(s.PeerCertFile, s.PeerKeyFile)
	pools := newPoolReloader(s.PeerCAFile)
	_, certErr := certs.get()
	_, poolErr := pools.get()
	if err := trace.NewAggregate(certErr, poolErr); err != nil {
		return nil, trace.Wrap(err, "certificates between daemons")
	}
	p := &PeerTLS{Server: peerServer(certs, pools), client: peerClient(certs, pools)}
	p.Dial = p.Over((&net.Dialer{}).DialContext)
	return p, nil
}

// peerDialTimeout bounds the opening of a connection, the handshake included.
const peerDialTimeout = time.Second

// peerProtocols are negotiated between daemons: HTTP/2, because its compressed headers
// are a tenth of those of HTTP/1.1.
var peerProtocols = []string{"h2"}

// peerServer verifies clients against the authorities as they stand at each handshake.
func peerServer(certs *reloader[*tls.Certificate], pools *reloader[*x509.CertPool]) *tls.Config {
	base := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		NextProtos:     peerProtocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certs.get() },
	}
	server := base.Clone()
	server.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pool, err := pools.get()
		if err != nil {
			return nil, err
		}
		current := base.Clone()
		current.ClientCAs = pool
		return current, nil
	}
	return server
}

// Over returns Dial over connections that dial opens.
func (p *PeerTLS) Over(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
		defer cancel()
		config, err := p.client(address)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(plain, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, err
		}
		return conn, nil
	}
}

// peerClient returns the client's side for the server at an address. It verifies the
// server's certificate and address against the authorities as they stand at the call.
func peerClient(certs *reloader[*tls.Certificate], pools *reloader[*x509.CertPool]) func(string) (*tls.Config, error) {
	return func(address string) (*tls.Config, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		pool, err := pools.get()
		if err != nil {
			return nil, err
		}
		return &tls.Config{
			MinVersion:           tls.VersionTLS13,
			NextProtos:           peerProtocols,
			ServerName:           host,
			RootCAs:              pool,
			GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return certs.get() },
		}, nil
	}
}
