package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/gather"
)

// loadReport is the notice in which a node sends its load to the relays of its data centre.
type loadReport struct {
	Node   string        `cbor:"1,keyasint"`
	Update gather.Update `cbor:"2,keyasint"`
	// Revision is the store's revision up to which the sender has all changes.
	Revision int64 `cbor:"3,keyasint,omitempty"`
}

func (m loadReport) apply(p *peers) { p.sums.ApplyNodeUpdate(time.Now(), m.Node, m.Update) }
