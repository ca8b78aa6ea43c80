// Package authtest issues certificates for tests.
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

// Authority is a certificate authority for one test.
type Authority struct {
	Cert *x509.Certificate
	t    testing.TB
	dir  string
	key  *ecdsa.PrivateKey
}

// New returns a new authority that writes its files to a temporary directory of the test.
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
	a.writePEM("ca.pem", "CERTIFICATE", der, 1)
	return a
}

// must returns a function that returns v, or fails the test if err is not nil.
func must[T any](v T, err error) func(testing.TB) T {
	return func(t testing.TB) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// Issue writes a certificate for a host's IP address with the given serial number. It
// returns the settings that use the certificate for callers and for peers. A further call
// for the same host replaces the files.
func (a *Authority) Issue(host, ip string, serial int64) settings.TLS {
	a.t.Helper()
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der := must(x509.CreateCertificate(rand.Reader, template, a.Cert, key.Public(), a.key))(a.t)
	keyDER := must(x509.MarshalPKCS8PrivateKey(key))(a.t)
	keyFile := a.writePEM(host+"-key.pem", "PRIVATE KEY", keyDER, serial)
	certFile := a.writePEM(host+".pem", "CERTIFICATE", der, serial)
	return settings.TLS{
		CertFile: certFile, KeyFile: keyFile,
		PeerCertFile: certFile, PeerKeyFile: keyFile, PeerCAFile: filepath.Join(a.dir, "ca.pem"),
	}
}

// writePEM writes a PEM file and returns its path. The modification time is derived from
// serial, so that the detection of a replaced file does not depend on the resolution of
// the file system's clock.
func (a *Authority) writePEM(name, blockType string, der []byte, serial int64) string {
	a.t.Helper()
	file := filepath.Join(a.dir, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	modTime := time.Unix(1_700_000_000+serial, 0)
	if err := os.Chtimes(file, modTime, modTime); err != nil {
		a.t.Fatal(err)
	}
	return file
}
