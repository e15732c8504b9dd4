package node

import "net/http"

// healthHandler serves metrics and the liveness and readiness checks.
func (n *Node) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", n.metrics.Handler)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// ready reports whether the node has a configuration and is not stopping.
func (n *Node) ready() bool {
	return n.distributor.Started().Load() && n.configManager.Current().Load().Revision() > 0 && !n.stopping.Load()
}
