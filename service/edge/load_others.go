package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// relaySilence is how long the relay in charge may be silent before the second one is heard.
const relaySilence = 400 * time.Millisecond

// loadOthers tells a node what all others have in flight.
type loadOthers struct {
	// Rank is 0 for the relay in charge.
	Rank  int             `cbor:"1,keyasint"`
	Loads []dispatch.Load `cbor:"2,keyasint"`
	// Position is the revision of the store up to which the sender knows everything.
	Position int64 `cbor:"3,keyasint,omitempty"`
}

func (m loadOthers) apply(p *peers) {
	now := time.Now()
	if m.Rank == 0 {
		p.heardFirst = now
	} else if now.Sub(p.heardFirst) < relaySilence {
		return
	}
	p.dispatcher.TrySend(othersMessage{loads: m.Loads})
}
