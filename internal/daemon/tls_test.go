package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/daisyfold/daisyfold/internal/auth/authtest"
	"github.com/daisyfold/daisyfold/internal/model"
	"github.com/daisyfold/daisyfold/internal/settings"
)

// must returns the value of a step of a test's preparation.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// secureHost is a daemon whose listeners serve and whose loops do not run.
type secureHost struct {
	*Daemon
	api, peer string // addresses
}

// startSecure serves a daemon that knows the given peers.
func startSecure(t *testing.T, name model.HostID, files settings.TLS, peers ...settings.Peer) secureHost {
	t.Helper()
	s := &settings.Settings{
		Host: name, Zone: "brest", TLS: files, Peers: peers,
		Listen: settings.Listen{API: "127.0.0.1:0", Peer: "127.0.0.1:0"},
	}
	r := gometrics.NewRegistry()
	outside := must(Network(s, r, func() int { return 2 }))
	d := New(Options{Settings: s, Registry: r, Outside: outside})
	apiL, peerL, err := listen(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	for l, server := range map[net.Listener]*http.Server{apiL: d.apiServer(), peerL: d.peerServer()} {
		server.ErrorLog = log.New(io.Discard, "", 0)
		go func() { _ = serveOne(server, l) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	return secureHost{d, apiL.Addr().String(), peerL.Addr().String()}
}

// heard reports whether an answer of host reached d.
func heard(d secureHost, host model.HostID) bool {
	for _, r := range d.members.Reports() {
		if r.Host == host && !r.AnsweredAt.IsZero() {
			return true
		}
	}
	return false
}

// served returns the serial number of the certificate that an address shows.
func served(t *testing.T, address string, c *tls.Config) int64 {
	t.Helper()
	conn, err := tls.Dial("tcp", address, c)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// TestMutualTLS guards against daemons that cannot reach each other over TLS, that
// speak plain HTTP/1.1 or HTTP to each other although certificates are set, and that
// answer a client without a certificate or of another authority.
func TestMutualTLS(t *testing.T) {
	a := authtest.New(t)
	server := startSecure(t, "brest-1", a.Issue("brest-1", "127.0.0.1", 10))
	peerOf := settings.Peer{Host: "brest-1", Zone: "brest", Address: "https://" + server.peer}
	client := startSecure(t, "brest-2", a.Issue("brest-2", "127.0.0.1", 11), peerOf)
	client.members.Announce(t.Context())
	if !heard(client, "brest-1") {
		t.Error("a peer of the same authority was not answered")
	}
	if client.Registry.Get("peer.bytes_sent").(gometrics.Counter).Count() == 0 {
		t.Error("the bytes of a heartbeat were not counted")
	}
	stranger := startSecure(t, "brest-3", authtest.New(t).Issue("brest-3", "127.0.0.1", 12), peerOf)
	stranger.members.Announce(t.Context())
	if heard(stranger, "brest-1") {
		t.Error("a peer of another authority was answered")
	}
	unknown := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	for _, url := range []string{"https://" + server.peer, "http://" + server.peer} {
		resp, err := unknown.Post(url+"/twirp/daisyfold.peer.Peer/Heartbeat", "application/json", nil)
		if err != nil {
			continue
		}
		if resp.StatusCode != http.StatusBadRequest || url[:5] == "https" {
			t.Errorf("%s: a client without a certificate got status %d", url, resp.StatusCode)
		}
		_ = resp.Body.Close()
	}
}

// TestTLSReplaced guards against daemons that need a restart for a new certificate, on
// either listener, and against API listeners that fall back to plain HTTP.
func TestTLSReplaced(t *testing.T) {
	a := authtest.New(t)
	server := startSecure(t, "brest-1", a.Issue("brest-1", "127.0.0.1", 20))
	pool := x509.NewCertPool()
	pool.AddCert(a.Cert)
	c := &tls.Config{RootCAs: pool, NextProtos: []string{"h2"}}
	for _, serial := range []int64{20, 21} {
		a.Issue("brest-1", "127.0.0.1", serial)
		if got := served(t, server.api, c); got != serial {
			t.Errorf("callers see serial %d, want %d", got, serial)
		}
		if got := served(t, server.peer, c); got != serial {
			t.Errorf("peers see serial %d, want %d", got, serial)
		}
	}
	caller := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	resp, err := caller.Get("https://" + server.api + "/metrics")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("the API over TLS: %v, %v", resp, err)
	}
	_ = resp.Body.Close()
	peers := []settings.Peer{{Host: "brest-1", Zone: "brest", Address: "https://" + server.peer}}
	files := a.Issue("brest-2", "127.0.0.1", 30)
	client := startSecure(t, "brest-2", files, peers...)
	a.Issue("brest-2", "127.0.0.1", 31)
	client.members.Announce(context.Background())
	if !heard(client, "brest-1") {
		t.Error("a peer with a replaced certificate was not answered")
	}
}

// TestBrokenCertificate guards against a daemon that serves plain HTTP because its
// certificate cannot be read.
func TestBrokenCertificate(t *testing.T) {
	files := authtest.New(t).Issue("brest-1", "127.0.0.1", 40)
	must(0, os.WriteFile(files.CertFile, []byte("broken"), 0o600))
	s := &settings.Settings{TLS: settings.TLS{CertFile: files.CertFile, KeyFile: files.KeyFile}}
	if _, err := Network(s, gometrics.NewRegistry(), nil); err == nil {
		t.Error("a broken certificate was accepted")
	}
}
