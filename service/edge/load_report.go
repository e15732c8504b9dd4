package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/gather"
)

// loadReport is the notice in which a node sends its load to the relays of its data centre.
type loadReport struct {
	Node   string        `cbor:"1,keyasint"`
	Update gather.Update `cbor:"2,keyasint"`
	// Revision is the number of the store's revision up to which the sender has all changes.
	Revision int64 `cbor:"3,keyasint,omitempty"`
	// Unserved is set if the node does not hear the primary relay and needs the updates of the other one.
	Unserved bool `cbor:"4,keyasint,omitempty"`
	// Era is the era of Revision; 0 from a node of an earlier version.
	Era int64 `cbor:"5,keyasint,omitempty"`
}

func (m loadReport) apply(p *peers) {
	now := time.Now()
	p.sums.ApplyNodeUpdate(now, m.Node, m.Update)
	if p.duty.RecordReport(now, m.Node, m.Unserved) {
		p.sums.RequestFullUpdate()
	}
}
