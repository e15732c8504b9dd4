package edge

import (
	"io"
	"net/http"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/metrics"
)

// Dependencies are the adapters that a node runs on.
type Dependencies struct {
	Store     Store
	Translate Translator
	Sender    exchange.Sender
	Mover     exchange.Mover
	Reporter  exchange.Reporter
	// StreamOf reads the events of an answer's body.
	StreamOf func(io.Reader) exchange.Stream
	// Front makes the callers' HTTP handler; it keeps at most budget bytes of bodies in memory.
	Front   func(s *Server, budget int64) http.Handler
	Metrics *metrics.Registry
}
