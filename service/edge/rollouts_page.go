package edge

import (
	"encoding/json"
	"net/http"

	"azuredyke.dev/azuredyke/service/rollout"
)

// rolloutsPage serves the state of the roll-outs as JSON for operators.
type rolloutsPage struct {
	manager *rollout.Manager
}

// ServeHTTP implements http.Handler.
func (p rolloutsPage) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	overviews := p.manager.Overviews()
	if overviews == nil {
		overviews = []rollout.Overview{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(overviews)
}
