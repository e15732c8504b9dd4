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

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Files is the certificate, the key and the CA that one listener or one kind of outgoing connection uses.
type Files struct {
	log     *zap.Logger
	paths   settings.TLSFiles
	now     func() time.Time
	current atomic.Pointer[material]
	// failed is the content that could not be used and was reported.
	failed atomic.Pointer[content]
	// checkAt is when the files are next looked at, in nanoseconds; the handshake that moves it does so.
	checkAt atomic.Int64
}

// New reads the files. It returns nil when the settings name none, which means plain text.
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
	m, err := c.material(paths)
	if err != nil {
		return nil, err
	}
	f := &Files{log: log, paths: paths, now: now}
	f.current.Store(m)
	f.checkAt.Store(now().Add(checkInterval).UnixNano())
	return f, nil
}

// latest returns what is in force, after a look at the files if one is due.
func (f *Files) latest() *material {
	now, due := f.now(), f.checkAt.Load()
	if now.UnixNano() >= due && f.checkAt.CompareAndSwap(due, now.Add(checkInterval).UnixNano()) {
		f.reload()
	}
	return f.current.Load()
}

// reload takes over changed files. A pair that does not match is expected for a moment while files are replaced.
func (f *Files) reload() {
	c, err := readContent(f.paths)
	if err == nil && c == f.current.Load().content {
		return
	}
	var m *material
	if err == nil {
		m, err = c.material(f.paths)
	}
	if err != nil {
		if last := f.failed.Swap(&c); last == nil || *last != c {
			f.log.Warn("TLS files cannot be used, keeping the earlier ones", zap.Error(err))
		}
		return
	}
	f.current.Store(m)
	f.failed.Store(nil)
	f.log.Info("TLS files reloaded", zap.String("certificate", f.paths.Certificate), zap.String("ca", f.paths.CA))
}

// Client returns the configuration for the next outgoing connection. It verifies the other side by the CA, or by the
// system's CAs if none is set. The dialling code sets ServerName.
func (f *Files) Client() *tls.Config {
	m := f.latest()
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: m.pool}
	if m.certificate != nil {
		c.Certificates = []tls.Certificate{*m.certificate}
	}
	return c
}
