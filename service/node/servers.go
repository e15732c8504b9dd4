package node

// servers are the HTTP servers of a node.
type servers struct {
	callers, operators, peers, metrics *httpServer
}

// servers returns the HTTP servers of the node.
func (n *Node) servers() servers {
	l := n.settings.Limits
	return servers{
		callers:   newHTTPServer(n.listeners.callers, n.gateway.Handler(), l),
		operators: newHTTPServer(n.listeners.operators, n.operator.Handler(n.settings.Operators), l),
		peers:     newHTTPServer(n.listeners.peers, n.hub.Handler(), l),
		metrics:   newHTTPServer(n.listeners.metrics, n.healthHandler(), l),
	}
}

func (s servers) all() []*httpServer {
	return []*httpServer{s.callers, s.operators, s.peers, s.metrics}
}

func (s servers) count() int { return len(s.all()) }
