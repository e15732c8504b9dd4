package tlsfiles

import (
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/settings"
)

// Error is the class of the errors of this package.
var Error = errs.Class("tlsfiles")

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// Files holds the certificate, the key and the CA of one listener or of one kind of outgoing connection.
type Files struct {
	log     *zap.Logger
	paths   settings.TLSFiles
	now     func() time.Time
	current atomic.Pointer[credentials]
	// failed is the last content that could not be used. Its error is logged only once.
	failed atomic.Pointer[content]
	// nextCheck is the time of the next check, in Unix nanoseconds. The handshake that advances it checks the files.
	nextCheck atomic.Int64
}

// New reads the files. It returns nil when the settings name no file, which means plain text.
func New(log *zap.Logger, paths settings.TLSFiles) (*Files, error) {
	if !paths.Enabled() {
		return nil, nil
	}
	return newFiles(log, paths, time.Now)
}

func newFiles(log *zap.Logger, paths settings.TLSFiles, now func() time.Time) (*Files, error) {
	c, err := readContent(paths)
	if err != nil {
		return nil, err
	}
	m, err := c.parse(paths)
	if err != nil {
		return nil, err
	}
	f := &Files{log: log, paths: paths, now: now}
	f.current.Store(m)
	f.nextCheck.Store(now().Add(checkInterval).UnixNano())
	return f, nil
}

// latest returns the current credentials, after a check of the files if one is due.
func (f *Files) latest() *credentials {
	now, due := f.now(), f.nextCheck.Load()
	if now.UnixNano() >= due && f.nextCheck.CompareAndSwap(due, now.Add(checkInterval).UnixNano()) {
		f.reload()
	}
	return f.current.Load()
}

// reload loads changed files. A certificate and a key that do not match are expected while the files are being replaced.
func (f *Files) reload() {
	c, err := readContent(f.paths)
	if err == nil && c == f.current.Load().content {
		return
	}
	var m *credentials
	if err == nil {
		m, err = c.parse(f.paths)
	}
	if err != nil {
		if last := f.failed.Swap(&c); last == nil || *last != c {
			f.log.Warn("TLS files cannot be used, keeping the last usable ones", zap.Error(err))
		}
		return
	}
	f.current.Store(m)
	f.failed.Store(nil)
	f.log.Info("TLS files reloaded", zap.String("certificate", f.paths.Certificate), zap.String("ca", f.paths.CA))
}

// Client returns the configuration for the next outgoing connection. It verifies the server with the CA, or with the
// system's CAs if none is set. The dialing code sets ServerName.
func (f *Files) Client() *tls.Config {
	m := f.latest()
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: m.pool}
	if m.certificate != nil {
		c.Certificates = []tls.Certificate{*m.certificate}
	}
	return c
}
