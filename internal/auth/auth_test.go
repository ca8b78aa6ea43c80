package auth

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/config"
	"github.com/daisyfold/daisyfold/internal/settings"
)

// TestIdentify guards against keys that open another organisation or nothing at all.
func TestIdentify(t *testing.T) {
	text := &config.Text{
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

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate for ip with the given serial, and returns the settings.
func (a *authority) issue(t *testing.T, dir, ip string, serial int64) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	write := func(name string, data []byte) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		// The modification time is set so that the change does not depend on the
		// resolution of the file system's clock.
		changed := time.Unix(1_700_000_000+serial, 0)
		if err := os.Chtimes(file, changed, changed); err != nil {
			t.Fatal(err)
		}
		return file
	}
	certFile := write("cert.pem", cert)
	keyFile := write("key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}))
	return settings.TLS{
		CertFile: certFile, KeyFile: keyFile,
		PeerCertFile: certFile, PeerKeyFile: keyFile, PeerCAFile: write("ca.pem", a.pem),
	}
}

// TestReload guards against daemons that need a restart for a new certificate, and
// against a broken file that takes the good certificate away.
func TestReload(t *testing.T) {
	a, dir := newAuthority(t), t.TempDir()
	files := a.issue(t, dir, "127.0.0.1", 10)
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
	a.issue(t, dir, "127.0.0.1", 11)
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
	a, other := newAuthority(t), newAuthority(t)
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

func peers(t *testing.T, a *authority, ip string) *PeerTLS {
	t.Helper()
	both, err := NewPeerTLS(a.issue(t, t.TempDir(), ip, 20))
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
