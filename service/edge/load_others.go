package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/gather"
)

// loadOthers tells a node what all others have in flight.
type loadOthers struct {
	// Rank is 0 for the relay in charge.
	Rank   int           `cbor:"1,keyasint"`
	Update gather.Update `cbor:"2,keyasint"`
	// Position is the revision of the store up to which the sender knows everything.
	Position int64 `cbor:"3,keyasint,omitempty"`
}

func (m loadOthers) apply(p *peers) {
	if m.Rank < 0 || m.Rank >= len(p.images) {
		return
	}
	now := time.Now()
	p.images[m.Rank].Take(now, m.Update)
	if m.Rank == 0 {
		p.heardFirst = now
	} else if now.Sub(p.heardFirst) < gather.RelaySilence {
		return
	}
	p.dispatcher.TrySend(othersMessage{loads: p.images[m.Rank].Loads()})
}
