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
	// Revision is the store's revision up to which the sender has all changes.
	Revision int64 `cbor:"3,keyasint,omitempty"`
}

func (m othersLoad) apply(p *peers) {
	if m.Rank < 0 || m.Rank >= len(p.received) {
		return
	}
	now := time.Now()
	p.received[m.Rank].Apply(now, m.Update)
	if m.Rank == 0 {
		p.primaryUpdatedAt = now
	} else if now.Sub(p.primaryUpdatedAt) < gather.RelaySilence {
		return
	}
	p.dispatcher.TrySend(othersLoadMessage{loads: p.received[m.Rank].Loads()})
}
