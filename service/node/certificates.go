package node

import (
	"crypto/tls"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/common/tlsfiles"
)

// certificates are the TLS configurations of a node; nil means plain text.
type certificates struct {
	callers, operators, peers *tls.Config
	// endpoints and dialPeers return the configuration of the next outgoing connection.
	endpoints, dialPeers func() *tls.Config
}

// newCertificates reads the files of the settings.
func newCertificates(log *zap.Logger, s settings.TLS) (certificates, error) {
	var c certificates
	for _, l := range []struct {
		target *(*tls.Config)
		files  settings.TLSFiles
	}{{&c.callers, s.Callers}, {&c.operators, s.Operators}, {&c.peers, s.Peers}} {
		files, err := tlsfiles.New(log, l.files)
		if err != nil {
			return c, Error.Wrap(err)
		}
		if files == nil {
			continue
		}
		if *l.target, err = files.Server(); err != nil {
			return c, Error.Wrap(err)
		}
	}
	for _, l := range []struct {
		target *func() *tls.Config
		files  settings.TLSFiles
	}{{&c.endpoints, s.Endpoints}, {&c.dialPeers, s.Peers}} {
		files, err := tlsfiles.New(log, l.files)
		if err != nil {
			return c, Error.Wrap(err)
		}
		if files != nil {
			*l.target = files.Client
		}
	}
	return c, nil
}
