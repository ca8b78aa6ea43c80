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

// TestIdentify guards against keys that open another organisation or nothing at all.
func TestIdentify(t *testing.T) {
	text := &config.Config{
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
		if got, ok := Identify(text, key); !ok || got != want {
			t.Errorf("key %q: got %v, %v", key, got, ok)
		}
	}
	for _, key := range []string{"", "schools", HashKey("old")} {
		if got, ok := Identify(text, key); ok {
			t.Errorf("key %q opened %v", key, got)
		}
	}
}

// TestReload guards against daemons that need a restart for a new certificate, and
// against a broken file that takes the good certificate away.
func TestReload(t *testing.T) {
	a := authtest.New(t)
	files := a.Issue("host", "127.0.0.1", 10)
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
	a.Issue("host", "127.0.0.1", 11)
	if got := serial(); got != 11 {
		t.Errorf("got serial %d after the change, want 11", got)
	}
	if err := os.WriteFile(files.CertFile, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 11 {
		t.Errorf("got serial %d with a broken file, want 11", got)
	}
}

// TestPeerTLS guards against daemons that accept peers of another authority, callers
// without a certificate, or a server whose certificate is for another address.
func TestPeerTLS(t *testing.T) {
	a, other := authtest.New(t), authtest.New(t)
	good := peers(t, a, "127.0.0.1")
	server := startPeer(t, good)
	cases := []struct {
		name   string
		server string
		client *PeerTLS
		ok     bool
	}{
		{"same authority", server, good, true},
		{"client of another authority", server, peers(t, other, "127.0.0.1"), false},
		{"server for another address", startPeer(t, peers(t, a, "127.0.0.9")), good, false},
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
	plain := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	if resp, err := plain.Get(server); err == nil {
		_ = resp.Body.Close()
		t.Error("a client without a certificate was accepted")
	}
}

func peers(t *testing.T, a *authtest.Authority, ip string) *PeerTLS {
	t.Helper()
	both, err := NewPeerTLS(a.Issue("host-"+ip, ip, 20))
	if err != nil {
		t.Fatal(err)
	}
	return both
}

func startPeer(t *testing.T, p *PeerTLS) string {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.Copy(w, bytes.NewReader([]byte("ok")))
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	listener := tls.NewListener(server.Listener, p.Server)
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return "https://" + listener.Addr().String()
}
