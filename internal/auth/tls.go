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

// fileVersion identifies a version of a file by its modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

func statVersion(name string) (fileVersion, error) {
	info, err := os.Stat(name)
	if err != nil {
		return fileVersion{}, err
	}
	return fileVersion{info.ModTime(), info.Size()}, nil
}

// reloader caches a value that is loaded from files, and loads it again when one of the
// files has changed. While the files cannot be loaded, the last valid value stays in use.
type reloader[T any] struct {
	files []string
	load  func() (T, error)

	mu       sync.Mutex
	versions []fileVersion
	value    T
	loaded   bool
}

// get returns the current value. It returns an error only if no load has succeeded yet.
func (r *reloader[T]) get() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	versions, err := r.currentVersions()
	if err == nil && r.loaded && equalVersions(versions, r.versions) {
		return r.value, nil
	}
	if err == nil {
		err = r.reload(versions)
	}
	if r.loaded {
		return r.value, nil
	}
	return r.value, err
}

func (r *reloader[T]) reload(versions []fileVersion) error {
	value, err := r.load()
	if err != nil {
		return err
	}
	r.value, r.versions, r.loaded = value, versions, true
	return nil
}

func (r *reloader[T]) currentVersions() ([]fileVersion, error) {
	versions := make([]fileVersion, len(r.files))
	for i, name := range r.files {
		version, err := statVersion(name)
		if err != nil {
			return nil, err
		}
		versions[i] = version
	}
	return versions, nil
}

func equalVersions(a, b []fileVersion) bool {
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

func newCAPoolReloader(caFile string) *reloader[*x509.CertPool] {
	return &reloader[*x509.CertPool]{
		files: []string{caFile},
		load:  func() (*x509.CertPool, error) { return loadCAPool(caFile) },
	}
}

func loadCAPool(caFile string) (*x509.CertPool, error) {
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, trace.BadParameter("%s contains no certificate", caFile)
	}
	return pool, nil
}

// CallerTLS returns the TLS configuration of the listener for callers, or nil if the
// settings select plain HTTP.
func CallerTLS(s settings.TLS) (*tls.Config, error) {
	if s.CertFile == "" {
		return nil, nil
	}
	certs := newCertReloader(s.CertFile, s.KeyFile)
	if _, err := certs.get(); err != nil {
		return nil, trace.Wrap(err, "loading the certificate for callers")
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certs.get() },
	}, nil
}

// DialFunc opens a connection. Its signature is that of http.Transport.DialTLSContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// PeerTLS holds both sides of mutual TLS between daemons: ServerConfig is for the listener,
// Dial is for http.Transport.DialTLSContext. Both sides negotiate HTTP/2, so the transport
// must support it.
type PeerTLS struct {
	ServerConfig *tls.Config
	Dial         DialFunc
	clientConfig func(address string) (*tls.Config, error)
}

// NewPeerTLS returns the configuration of mutual TLS between daemons, or nil if the
// settings select plain HTTP. Both sides accept only certificates that are signed by an
// authority in peerCAFile.
func NewPeerTLS(s settings.TLS) (*PeerTLS, error) {
	if s.PeerCertFile == "" {
		return nil, nil
	}
	certs := newCertReloader(s.PeerCertFile, s.PeerKeyFile)
	caPools := newCAPoolReloader(s.PeerCAFile)
	_, certErr := certs.get()
	_, poolErr := caPools.get()
	if err := trace.NewAggregate(certErr, poolErr); err != nil {
		return nil, trace.Wrap(err, "loading the certificates for peers")
	}
	p := &PeerTLS{ServerConfig: newPeerServerConfig(certs, caPools), clientConfig: newPeerClientConfig(certs, caPools)}
	p.Dial = p.WrapDial((&net.Dialer{}).DialContext)
	return p, nil
}

// peerDialTimeout limits the time to open a connection, including the TLS handshake.
const peerDialTimeout = time.Second

// peerProtocols lists the ALPN protocols between daemons. It contains only HTTP/2, whose
// compressed headers are a tenth of the size of HTTP/1.1 headers.
var peerProtocols = []string{"h2"}

// newPeerServerConfig returns the server side. It verifies clients against the authorities
// that are current at each handshake.
func newPeerServerConfig(certs *reloader[*tls.Certificate], caPools *reloader[*x509.CertPool]) *tls.Config {
	base := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		NextProtos:     peerProtocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certs.get() },
	}
	server := base.Clone()
	server.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pool, err := caPools.get()
		if err != nil {
			return nil, err
		}
		current := base.Clone()
		current.ClientCAs = pool
		return current, nil
	}
	return server
}

// WrapDial returns a function that opens a connection with dial and performs the TLS
// handshake on it.
func (p *PeerTLS) WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
		defer cancel()
		config, err := p.clientConfig(address)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		rawConn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(rawConn, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = rawConn.Close()
			return nil, err
		}
		return conn, nil
	}
}

// newPeerClientConfig returns a function that returns the client side for the server at an
// address. The client verifies the server's address and certificate against the authorities
// that are current at the call.
func newPeerClientConfig(certs *reloader[*tls.Certificate], caPools *reloader[*x509.CertPool]) func(string) (*tls.Config, error) {
	return func(address string) (*tls.Config, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		pool, err := caPools.get()
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
