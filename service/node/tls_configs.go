package node

import (
	"crypto/tls"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/common/tlsfiles"
)

// tlsConfigs holds the TLS configurations of a node. A nil configuration means plain text.
type tlsConfigs struct {
	callers, operators, peers *tls.Config
	// endpoints and dialPeers return the configuration for the next outgoing connection; nil means plain text.
	endpoints, dialPeers func() *tls.Config
}

// newTLSConfigs reads the files that the settings name.
func newTLSConfigs(log *zap.Logger, s settings.TLS) (tlsConfigs, error) {
	var c tlsConfigs
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
