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

// must returns v, or panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// tlsDaemon is a daemon that serves over TLS and whose background loops do not run.
type tlsDaemon struct {
	*Daemon
	api, peer string // addresses
}

// startTLSDaemon starts the servers of a daemon with the given certificates and peers.
func startTLSDaemon(t *testing.T, name model.HostID, files settings.TLS, peers ...settings.Peer) tlsDaemon {
	t.Helper()
	s := &settings.Settings{
		Host: name, Zone: "brest", TLS: files, Peers: peers,
		Listen: settings.Listen{API: "127.0.0.1:0", Peer: "127.0.0.1:0"},
	}
	r := gometrics.NewRegistry()
	external := must(NewExternal(s, r, func() int { return 2 }))
	d := New(Options{Settings: s, Registry: r, External: external})
	apiListener, peerListener, err := listen(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	for l, server := range map[net.Listener]*http.Server{apiListener: d.newAPIServer(), peerListener: d.newPeerServer()} {
		server.ErrorLog = log.New(io.Discard, "", 0)
		go func() { _ = serveListener(server, l) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	return tlsDaemon{d, apiListener.Addr().String(), peerListener.Addr().String()}
}

// hasAnswered reports whether d has received a response from host.
func hasAnswered(d tlsDaemon, host model.HostID) bool {
	for _, r := range d.members.Reports() {
		if r.Host == host && !r.AnsweredAt.IsZero() {
			return true
		}
	}
	return false
}

// servedSerial returns the serial number of the certificate served at address.
func servedSerial(t *testing.T, address string, c *tls.Config) int64 {
	t.Helper()
	conn, err := tls.Dial("tcp", address, c)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// TestMutualTLS checks that daemons with certificates of the same authority reach each
// other over TLS and do not fall back to plain HTTP or HTTP/1.1. The listener for peers must
// reject plain HTTP, clients without a certificate, and certificates of another authority.
func TestMutualTLS(t *testing.T) {
	authority := authtest.New(t)
	server := startTLSDaemon(t, "brest-1", authority.Issue("brest-1", "127.0.0.1", 10))
	serverPeer := settings.Peer{Host: "brest-1", Zone: "brest", Address: "https://" + server.peer}
	client := startTLSDaemon(t, "brest-2", authority.Issue("brest-2", "127.0.0.1", 11), serverPeer)
	client.members.Announce(t.Context())
	if !hasAnswered(client, "brest-1") {
		t.Error("a peer of the same authority got no response")
	}
	if client.Registry.Get("peer.bytes_sent").(gometrics.Counter).Count() == 0 {
		t.Error("the bytes of a heartbeat were not counted")
	}
	untrusted := startTLSDaemon(t, "brest-3", authtest.New(t).Issue("brest-3", "127.0.0.1", 12), serverPeer)
	untrusted.members.Announce(t.Context())
	if hasAnswered(untrusted, "brest-1") {
		t.Error("a peer of another authority got a response")
	}
	noCertClient := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	for _, url := range []string{"https://" + server.peer, "http://" + server.peer} {
		resp, err := noCertClient.Post(url+"/twirp/daisyfold.peer.Peer/Heartbeat", "application/json", nil)
		if err != nil {
			continue
		}
		if resp.StatusCode != http.StatusBadRequest || url[:5] == "https" {
			t.Errorf("%s: a client without a certificate got status %d", url, resp.StatusCode)
		}
		_ = resp.Body.Close()
	}
}

// TestCertificateReplacement checks that both listeners and the client for peers use a
// replaced certificate without a restart, and that the API listener serves TLS.
func TestCertificateReplacement(t *testing.T) {
	authority := authtest.New(t)
	server := startTLSDaemon(t, "brest-1", authority.Issue("brest-1", "127.0.0.1", 20))
	pool := x509.NewCertPool()
	pool.AddCert(authority.Cert)
	tlsConfig := &tls.Config{RootCAs: pool, NextProtos: []string{"h2"}}
	for _, serial := range []int64{20, 21} {
		authority.Issue("brest-1", "127.0.0.1", serial)
		if got := servedSerial(t, server.api, tlsConfig); got != serial {
			t.Errorf("listener for callers: got serial %d, want %d", got, serial)
		}
		if got := servedSerial(t, server.peer, tlsConfig); got != serial {
			t.Errorf("listener for peers: got serial %d, want %d", got, serial)
		}
	}
	caller := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	resp, err := caller.Get("https://" + server.api + "/metrics")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("API over TLS: got %v, error %v", resp, err)
	}
	_ = resp.Body.Close()
	peers := []settings.Peer{{Host: "brest-1", Zone: "brest", Address: "https://" + server.peer}}
	files := authority.Issue("brest-2", "127.0.0.1", 30)
	client := startTLSDaemon(t, "brest-2", files, peers...)
	authority.Issue("brest-2", "127.0.0.1", 31)
	client.members.Announce(context.Background())
	if !hasAnswered(client, "brest-1") {
		t.Error("a peer with a replaced certificate got no response")
	}
}

// TestUnreadableCertificate checks that a daemon whose certificate cannot be read fails to
// start instead of serving plain HTTP.
func TestUnreadableCertificate(t *testing.T) {
	files := authtest.New(t).Issue("brest-1", "127.0.0.1", 40)
	must(0, os.WriteFile(files.CertFile, []byte("broken"), 0o600))
	s := &settings.Settings{TLS: settings.TLS{CertFile: files.CertFile, KeyFile: files.KeyFile}}
	if _, err := NewExternal(s, gometrics.NewRegistry(), nil); err == nil {
		t.Error("an invalid certificate was accepted")
	}
}
