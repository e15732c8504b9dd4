package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/settings"
)

// authority is a CA made by a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func pemOf(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{certificate: certificate, key: key}
}

// issue writes a certificate for an IP address, its key and the CA to a directory.
func (a *authority) issue(t *testing.T, dir string, serial int64, ip string) settings.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.certificate, key.Public(), a.key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := settings.TLSFiles{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	write(t, files.Certificate, pemOf("CERTIFICATE", der))
	write(t, files.Key, pemOf("EC PRIVATE KEY", private))
	write(t, files.CA, pemOf("CERTIFICATE", a.certificate.Raw))
	return files
}

// clock is a time that only the test moves.
type clock struct{ offset atomic.Int64 }

func (c *clock) now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

func (c *clock) advance(d time.Duration) { c.offset.Add(int64(d)) }

// handshake connects a client to a server and returns the serial number of the server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = conn.Write([]byte("x"))
			_ = conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	// In TLS 1.3 the client learns of a refused certificate with the first read.
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func load(t *testing.T, paths settings.TLSFiles, c *clock) *Files {
	t.Helper()
	f, err := newFiles(zaptest.NewLogger(t), paths, c.now)
	assert.NilError(t, err)
	return f
}

func server(t *testing.T, f *Files) *tls.Config {
	t.Helper()
	c, err := f.Server()
	assert.NilError(t, err)
	return c
}

// Guards against a node that must be restarted for a new certificate, and files that are read at each handshake.
func TestCertificateIsReloadedAtMostOnceASecond(t *testing.T) {
	ca, dir, c := newAuthority(t), t.TempDir(), &clock{}
	f := load(t, ca.issue(t, dir, 1, "127.0.0.1"), c)
	listening := server(t, f)
	serial, err := handshake(t, listening, f.Client())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(1))
	ca.issue(t, dir, 2, "127.0.0.1")
	f.checkAt.Store(c.now().Add(time.Hour).UnixNano())
	serial, err = handshake(t, listening, f.Client())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(1))
	c.advance(time.Hour)
	serial, err = handshake(t, listening, f.Client())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(2))
}

// Guards against a CA that stays trusted after it was replaced, on both sides.
func TestAuthorityIsReloaded(t *testing.T) {
	oldCA, newCA, c := newAuthority(t), newAuthority(t), &clock{}
	dir, clientDir := t.TempDir(), t.TempDir()
	listening := server(t, load(t, oldCA.issue(t, dir, 1, "127.0.0.1"), c))
	client := load(t, oldCA.issue(t, clientDir, 2, "127.0.0.1"), c)
	_, err := handshake(t, listening, client.Client())
	assert.NilError(t, err)
	newCA.issue(t, dir, 3, "127.0.0.1")
	c.advance(2 * checkInterval)
	_, err = handshake(t, listening, client.Client())
	assert.Assert(t, err != nil, "the client accepted a certificate of another CA")
	insecure := client.Client()
	insecure.InsecureSkipVerify = true
	_, err = handshake(t, listening, insecure)
	assert.Assert(t, err != nil, "the server accepted a certificate of the earlier CA")
	newCA.issue(t, clientDir, 4, "127.0.0.1")
	c.advance(2 * checkInterval)
	_, err = handshake(t, listening, client.Client())
	assert.NilError(t, err)
}

// Guards against a listener with a CA that lets anybody in, and a client that accepts another node's certificate.
func TestBothSidesAreVerified(t *testing.T) {
	ca, c := newAuthority(t), &clock{}
	f := load(t, ca.issue(t, t.TempDir(), 1, "127.0.0.1"), c)
	anonymous := f.Client()
	anonymous.Certificates = nil
	_, err := handshake(t, server(t, f), anonymous)
	assert.Assert(t, err != nil)
	other := load(t, ca.issue(t, t.TempDir(), 2, "127.0.0.2"), c)
	_, err = handshake(t, server(t, other), f.Client())
	assert.ErrorContains(t, err, "127.0.0.1")
}

// Guards against a half-written replacement that ends service, and one that is reported at each handshake.
func TestUnusableFilesKeepTheEarlierOnes(t *testing.T) {
	ca, dir, c := newAuthority(t), t.TempDir(), &clock{}
	paths := ca.issue(t, dir, 1, "127.0.0.1")
	core, logs := observer.New(zap.InfoLevel)
	f, err := newFiles(zap.New(core), paths, c.now)
	assert.NilError(t, err)
	listening := server(t, f)
	old, err := os.ReadFile(paths.Key)
	assert.NilError(t, err)
	ca.issue(t, dir, 2, "127.0.0.1")
	write(t, paths.Key, old)
	for range 3 {
		c.advance(2 * checkInterval)
		serial, err := handshake(t, listening, f.Client())
		assert.NilError(t, err)
		assert.Equal(t, serial, int64(1))
	}
	assert.Equal(t, logs.FilterMessageSnippet("cannot be used").Len(), 1)
	ca.issue(t, dir, 3, "127.0.0.1")
	c.advance(2 * checkInterval)
	serial, err := handshake(t, listening, f.Client())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(3))
}

// Guards against a start with files that do not fit, and errors that do not name the file.
func TestUnusableFilesAreNamed(t *testing.T) {
	ca := newAuthority(t)
	paths, other := ca.issue(t, t.TempDir(), 1, "127.0.0.1"), ca.issue(t, t.TempDir(), 2, "127.0.0.1")
	log := zaptest.NewLogger(t)
	_, err := New(log, settings.TLSFiles{Certificate: paths.Certificate, Key: other.Key})
	assert.ErrorContains(t, err, "does not match")
	assert.ErrorContains(t, err, other.Key)
	_, err = New(log, settings.TLSFiles{CA: paths.Key})
	assert.ErrorContains(t, err, "holds no certificate")
	_, err = New(log, settings.TLSFiles{CA: paths.CA + ".missing"})
	assert.ErrorContains(t, err, ".missing")
	f, err := New(log, settings.TLSFiles{CA: paths.CA})
	assert.NilError(t, err)
	_, err = f.Server()
	assert.ErrorContains(t, err, "needs a certificate")
	f, err = New(log, settings.TLSFiles{})
	assert.NilError(t, err)
	assert.Assert(t, f == nil)
}
