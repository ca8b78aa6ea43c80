package auth

import (
	"bytes"
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/daisyfold/daisyfold/internal/auth/authtest"
	"github.com/daisyfold/daisyfold/internal/config"
)

// TestIdentify checks that each key identifies its owner, and that an empty key, a name or
// a hash is not accepted as a key.
func TestIdentify(t *testing.T) {
	cfg := &config.Config{
		Organisations: []config.Organisation{
			{Name: "schools", KeyHashes: []string{HashKey("old"), HashKey("new")}},
			{Name: "parishes", KeyHashes: []string{HashKey("parishes-key"), HashKey("")}},
		},
		Operators: []config.Operator{{Name: "operations", KeyHashes: []string{HashKey("operator-key")}}},
	}
	cases := map[string]Identity{
		"old":          {Organisation: "schools"},
		"new":          {Organisation: "schools"},
		"parishes-key": {Organisation: "parishes"},
		"operator-key": {Operator: "operations"},
	}
	for key, want := range cases {
		if got, ok := Identify(cfg, key); !ok || got != want {
			t.Errorf("key %q: got %v, %v", key, got, ok)
		}
	}
	for _, key := range []string{"", "schools", HashKey("old")} {
		if got, ok := Identify(cfg, key); ok {
			t.Errorf("key %q was accepted as %v", key, got)
		}
	}
}

// TestCertificateReload checks that a replaced certificate is used without a restart, and
// that the last valid certificate stays in use while the file is invalid.
func TestCertificateReload(t *testing.T) {
	authority := authtest.New(t)
	files := authority.Issue("host", "127.0.0.1", 10)
	server, err := CallerTLS(files)
	if err != nil {
		t.Fatal(err)
	}
	serial := func() int64 {
		cert, err := server.GetCertificate(nil)
		if err != nil {
			t.Fatal(err)
		}
		return cert.Leaf.SerialNumber.Int64()
	}
	if got := serial(); got != 10 {
		t.Errorf("got serial %d, want 10", got)
	}
	authority.Issue("host", "127.0.0.1", 11)
	if got := serial(); got != 11 {
		t.Errorf("got serial %d after the replacement, want 11", got)
	}
	if err := os.WriteFile(files.CertFile, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 11 {
		t.Errorf("got serial %d with an invalid file, want 11", got)
	}
}

// TestPeerTLS checks that daemons reject peers of another authority, clients without a
// certificate, and servers whose certificate is for another address.
func TestPeerTLS(t *testing.T) {
	authority, otherAuthority := authtest.New(t), authtest.New(t)
	trusted := newTestPeerTLS(t, authority, "127.0.0.1")
	server := startPeerServer(t, trusted)
	cases := []struct {
		name   string
		server string
		client *PeerTLS
		ok     bool
	}{
		{"same authority", server, trusted, true},
		{"client of another authority", server, newTestPeerTLS(t, otherAuthority, "127.0.0.1"), false},
		{"server for another address", startPeerServer(t, newTestPeerTLS(t, authority, "127.0.0.9")), trusted, false},
	}
	for _, c := range cases {
		client := &http.Client{Transport: &http.Transport{DialTLSContext: c.client.Dial, ForceAttemptHTTP2: true}}
		resp, err := client.Get(c.server)
		if (err == nil) != c.ok {
			t.Errorf("%s: got error %v", c.name, err)
		}
		if err == nil {
			_ = resp.Body.Close()
		}
	}
	noCertClient := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	if resp, err := noCertClient.Get(server); err == nil {
		_ = resp.Body.Close()
		t.Error("a client without a certificate was accepted")
	}
}

// newTestPeerTLS returns the TLS configuration of a daemon with a new certificate for ip.
func newTestPeerTLS(t *testing.T, authority *authtest.Authority, ip string) *PeerTLS {
	t.Helper()
	peerTLS, err := NewPeerTLS(authority.Issue("host-"+ip, ip, 20))
	if err != nil {
		t.Fatal(err)
	}
	return peerTLS
}

// startPeerServer starts a server with the given TLS configuration and returns its URL.
func startPeerServer(t *testing.T, p *PeerTLS) string {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.Copy(w, bytes.NewReader([]byte("ok")))
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	listener := tls.NewListener(server.Listener, p.ServerConfig)
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return "https://" + listener.Addr().String()
}
