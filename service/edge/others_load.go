package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/gather"
)

// othersLoad is the notice in which a relay sends a node the others' load of that node.
type othersLoad struct {
	// Rank is the sender's rank among the relays of the data centre; 0 is the primary relay.
	Rank   int           `cbor:"1,keyasint"`
	Update gather.Update `cbor:"2,keyasint"`
	// Revision is the number of the store's revision up to which the sender has all changes.
	Revision int64 `cbor:"3,keyasint,omitempty"`
	// Era is the era of Revision; 0 from a node of an earlier version.
	Era int64 `cbor:"5,keyasint,omitempty"`
}

func (m othersLoad) apply(p *peers) {
	if m.Rank < 0 || m.Rank >= gather.RelaysPerDataCentre {
		return
	}
	now := time.Now()
	if m.Rank == 0 {
		p.duty.RecordPrimaryUpdate(now)
	}
	p.others.apply(now, m.Rank, m.Update, m.Rank == 0 || p.duty.IsUnserved(now))
}
