package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// loadReport tells a relay what a node of its data centre has in flight.
type loadReport struct {
	Node  string          `cbor:"1,keyasint"`
	Loads []dispatch.Load `cbor:"2,keyasint"`
}

func (m loadReport) apply(p *peers) { p.sums.Report(time.Now(), m.Node, m.Loads) }
