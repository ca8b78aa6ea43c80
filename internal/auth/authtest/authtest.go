// Package authtest makes certificates for tests.
package authtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/daisyfold/daisyfold/internal/settings"
)

// Authority signs certificates.
type Authority struct {
	Cert *x509.Certificate
	t    testing.TB
	dir  string
	key  *ecdsa.PrivateKey
}

// New returns an authority whose files lie in a directory of the test.
func New(t testing.TB) *Authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}
	a := &Authority{t: t, dir: t.TempDir()}
	a.key = must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))(t)
	der := must(x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key))(t)
	a.Cert = must(x509.ParseCertificate(der))(t)
	a.write("ca.pem", "CERTIFICATE", der, 1)
	return a
}

// must returns a function that ends the test when a step failed, or returns its value.
func must[T any](v T, err error) func(testing.TB) T {
	return func(t testing.TB) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// Issue writes a host's certificate for an IP address with a serial number, and returns
// the settings that name it for callers and peers. The files of an earlier call for the
// same host are replaced.
func (a *Authority) Issue(host, ip string, serial int64) settings.TLS {
	a.t.Helper()
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der := must(x509.CreateCertificate(rand.Reader, template, a.Cert, key.Public(), a.key))(a.t)
	keyDER := must(x509.MarshalPKCS8PrivateKey(key))(a.t)
	keyFile := a.write(host+"-key.pem", "PRIVATE KEY", keyDER, serial)
	certFile := a.write(host+".pem", "CERTIFICATE", der, serial)
	return settings.TLS{
		CertFile: certFile, KeyFile: keyFile,
		PeerCertFile: certFile, PeerKeyFile: keyFile, PeerCAFile: filepath.Join(a.dir, "ca.pem"),
	}
}

// write stores a PEM file whose modification time follows from serial, so that a
// replacement does not depend on the resolution of the file system's clock.
func (a *Authority) write(name, kind string, der []byte, serial int64) string {
	a.t.Helper()
	file := filepath.Join(a.dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	changed := time.Unix(1_700_000_000+serial, 0)
	if err := os.Chtimes(file, changed, changed); err != nil {
		a.t.Fatal(err)
	}
	return file
}
