package edge

import "net/http"

// readiness is the HTTP handler of the platform's readiness probe.
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

// ready reports whether the node is not stopping and has a configuration that is recent enough to check API keys.
func (r *readiness) ready() bool {
	return !r.server.graceEnd.isSet() && r.server.cluster.Load().Fleet.Configuration != nil &&
		r.server.stateAge() < r.server.revokeBound()-revokeMargin
}
