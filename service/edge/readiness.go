package edge

import "net/http"

// readiness answers the platform's question whether the node takes new connections.
type readiness struct {
	server *Server
}

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the node can serve: it does not stop and knows a configuration that is recent enough to check keys by.
func (r *readiness) ready() bool {
	return r.server.stopBy.Load() == nil && r.server.known.Load().Fleet.Configuration != nil &&
		r.server.knowledgeAge() < r.server.revokeBound()-revokeMargin
}
