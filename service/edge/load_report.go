package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/gather"
)

// loadReport tells a relay what a node of its data centre has in flight.
type loadReport struct {
	Node   string        `cbor:"1,keyasint"`
	Update gather.Update `cbor:"2,keyasint"`
	// Position is the revision of the store up to which the sender knows everything.
	Position int64 `cbor:"3,keyasint,omitempty"`
}

func (m loadReport) apply(p *peers) { p.sums.Report(time.Now(), m.Node, m.Update) }
