package edge

import (
	"io"
	"net/http"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/metrics"
	"azuredyke.dev/azuredyke/service/rollout"
)

// Dependencies are the adapters that a node uses.
type Dependencies struct {
	Store     Store
	Translate Translator
	Sender    exchange.Sender
	Mover     exchange.Mover
	Reporter  exchange.Reporter
	Liveness  exchange.Liveness
	// NewStream returns a reader of the events in an answer's body.
	NewStream func(io.Reader) exchange.Stream
	// NewHandler returns the HTTP handler for callers. The handler holds at most budget bytes of request bodies in memory.
	NewHandler func(s *Server, budget int64) http.Handler
	Metrics    *metrics.Registry
	// EncodeRolloutStatus encodes the status of a roll-out. It is needed only with the feature Rollouts.
	EncodeRolloutStatus rollout.StatusEncoder
}
