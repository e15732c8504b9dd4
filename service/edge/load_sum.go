package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/gather"
)

// loadSum is the notice in which a relay sends the total load of its data centre to the relays of other data centres.
type loadSum struct {
	DataCentre string        `cbor:"1,keyasint"`
	Update     gather.Update `cbor:"2,keyasint"`
	// Revision is the number of the store's revision up to which the sender has all changes.
	Revision int64 `cbor:"3,keyasint,omitempty"`
	// Relay is the id of the sending node.
	Relay string `cbor:"4,keyasint"`
	// Era is the era of Revision; 0 from a node of an earlier version.
	Era int64 `cbor:"5,keyasint,omitempty"`
}

func (m loadSum) apply(p *peers) {
	p.sums.ApplyDataCentreUpdate(time.Now(), m.DataCentre, m.Relay, m.Update)
}
