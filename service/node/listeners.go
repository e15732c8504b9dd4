package node

import (
	"net"

	"azuredyke.dev/azuredyke/common/settings"
)

// listeners holds the open listeners of a node.
type listeners struct {
	callers, operators, metrics, peers net.Listener
}

// open opens all listeners, or none.
func (l *listeners) open(s settings.Listen) error {
	for _, item := range []struct {
		target  *net.Listener
		address string
	}{{&l.callers, s.Callers}, {&l.operators, s.Operators}, {&l.metrics, s.Metrics}, {&l.peers, s.Peers}} {
		listener, err := net.Listen("tcp", item.address)
		if err != nil {
			l.close()
			return Error.Wrap(err)
		}
		*item.target = listener
	}
	return nil
}

func (l *listeners) close() {
	for _, open := range []net.Listener{l.callers, l.operators, l.metrics, l.peers} {
		if open != nil {
			_ = open.Close()
		}
	}
}

// addresses returns the actual listening addresses. They differ from the settings where the port of a setting is 0.
func (l *listeners) addresses(s settings.Listen) settings.Listen {
	actual := settings.Listen{
		Callers: l.callers.Addr().String(), Operators: l.operators.Addr().String(),
		Metrics: l.metrics.Addr().String(), Peers: l.peers.Addr().String(), PeersAdvertised: s.PeersAdvertised,
	}
	if s.PeersAdvertised == "" || s.PeersAdvertised == s.Peers {
		actual.PeersAdvertised = actual.Peers
	}
	return actual
}
