package node

import "azuredyke.dev/azuredyke/common/httpserver"

// servers holds the HTTP servers of a node.
type servers struct {
	callers, operators, peers, metrics *httpserver.Server
}

// servers returns the HTTP servers of the node.
func (n *Node) servers() servers {
	l := n.settings.Limits
	return servers{
		callers:   newHTTPServer(n.listeners.callers, n.gateway.Handler(), l, n.tlsConfigs.callers),
		operators: newHTTPServer(n.listeners.operators, n.operator.Handler(n.settings.Operators), l, n.tlsConfigs.operators),
		peers:     newHTTPServer(n.listeners.peers, n.hub.Handler(), l, n.tlsConfigs.peers),
		metrics:   newHTTPServer(n.listeners.metrics, n.healthHandler(), l, nil),
	}
}

func (s servers) all() []*httpserver.Server {
	return []*httpserver.Server{s.callers, s.operators, s.peers, s.metrics}
}

func (s servers) count() int { return len(s.all()) }
