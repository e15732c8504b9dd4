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

// testCA issues certificates for tests.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func write(t *testing.T, path string, data []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}

func newTestCA(t *testing.T) *testCA {
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
	return &testCA{certificate: certificate, key: key}
}

// issue writes a certificate for an IP address, its key and the certificate of the CA to a directory.
func (ca *testCA) issue(t *testing.T, dir string, serial int64, ip string) settings.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, ca.certificate, key.Public(), ca.key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := settings.TLSFiles{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	write(t, files.Certificate, encodePEM("CERTIFICATE", der))
	write(t, files.Key, encodePEM("EC PRIVATE KEY", private))
	write(t, files.CA, encodePEM("CERTIFICATE", ca.certificate.Raw))
	return files
}

// testClock is the real time plus an offset that the test sets.
type testClock struct{ offset atomic.Int64 }

func (c *testClock) now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

func (c *testClock) advance(d time.Duration) { c.offset.Add(int64(d)) }

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
	// In TLS 1.3 the error for a rejected client certificate is returned by the first read.
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func newTestFiles(t *testing.T, paths settings.TLSFiles, c *testClock) *Files {
	t.Helper()
	f, err := newFiles(zaptest.NewLogger(t), paths, c.now)
	assert.NilError(t, err)
	return f
}

func serverConfig(t *testing.T, f *Files) *tls.Config {
	t.Helper()
	c, err := f.Server()
	assert.NilError(t, err)
	return c
}

// Guards against a certificate change that needs a restart, and against reading the files at each handshake.
func TestCertificateIsReloadedAtMostOnceASecond(t *testing.T) {
	ca, dir, c := newTestCA(t), t.TempDir(), &testClock{}
	f := newTestFiles(t, ca.issue(t, dir, 1, "127.0.0.1"), c)
	listenerConfig := serverConfig(t, f)
	serial, err := handshake(t, listenerConfig, f.Client())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(1))
	ca.issue(t, dir, 2, "127.0.0.1")
	f.nextCheck.Store(c.now().Add(time.Hour).UnixNano())
	serial, err = handshake(t, listenerConfig, f.Client())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(1))
	c.advance(time.Hour)
	serial, err = handshake(t, listenerConfig, f.Client())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(2))
}

// Guards against a replaced CA that a server or a client still trusts.
func TestCAIsReloaded(t *testing.T) {
	oldCA, newCA, c := newTestCA(t), newTestCA(t), &testClock{}
	dir, clientDir := t.TempDir(), t.TempDir()
	listenerConfig := serverConfig(t, newTestFiles(t, oldCA.issue(t, dir, 1, "127.0.0.1"), c))
	client := newTestFiles(t, oldCA.issue(t, clientDir, 2, "127.0.0.1"), c)
	_, err := handshake(t, listenerConfig, client.Client())
	assert.NilError(t, err)
	newCA.issue(t, dir, 3, "127.0.0.1")
	c.advance(2 * checkInterval)
	_, err = handshake(t, listenerConfig, client.Client())
	assert.Assert(t, err != nil, "the client accepted a certificate of another CA")
	insecure := client.Client()
	insecure.InsecureSkipVerify = true
	_, err = handshake(t, listenerConfig, insecure)
	assert.Assert(t, err != nil, "the server accepted a certificate of the earlier CA")
	newCA.issue(t, clientDir, 4, "127.0.0.1")
	c.advance(2 * checkInterval)
	_, err = handshake(t, listenerConfig, client.Client())
	assert.NilError(t, err)
}

// Guards against a listener with a CA that accepts clients without a certificate, and against a client that accepts a
// certificate for another address.
func TestBothSidesAreVerified(t *testing.T) {
	ca, c := newTestCA(t), &testClock{}
	f := newTestFiles(t, ca.issue(t, t.TempDir(), 1, "127.0.0.1"), c)
	anonymous := f.Client()
	anonymous.Certificates = nil
	_, err := handshake(t, serverConfig(t, f), anonymous)
	assert.Assert(t, err != nil)
	other := newTestFiles(t, ca.issue(t, t.TempDir(), 2, "127.0.0.2"), c)
	_, err = handshake(t, serverConfig(t, other), f.Client())
	assert.ErrorContains(t, err, "127.0.0.1")
}

// Guards against a partly replaced certificate and key that break handshakes or are logged at each handshake.
func TestUnusableFilesKeepLastUsableOnes(t *testing.T) {
	ca, dir, c := newTestCA(t), t.TempDir(), &testClock{}
	paths := ca.issue(t, dir, 1, "127.0.0.1")
	core, logs := observer.New(zap.InfoLevel)
	f, err := newFiles(zap.New(core), paths, c.now)
	assert.NilError(t, err)
	listenerConfig := serverConfig(t, f)
	old, err := os.ReadFile(paths.Key)
	assert.NilError(t, err)
	ca.issue(t, dir, 2, "127.0.0.1")
	write(t, paths.Key, old)
	for range 3 {
		c.advance(2 * checkInterval)
		serial, err := handshake(t, listenerConfig, f.Client())
		assert.NilError(t, err)
		assert.Equal(t, serial, int64(1))
	}
	assert.Equal(t, logs.FilterMessageSnippet("cannot be used").Len(), 1)
	ca.issue(t, dir, 3, "127.0.0.1")
	c.advance(2 * checkInterval)
	serial, err := handshake(t, listenerConfig, f.Client())
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(3))
}

// Guards against starting with files that cannot be used, and against errors that do not name the file.
func TestErrorsNameUnusableFiles(t *testing.T) {
	ca := newTestCA(t)
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
