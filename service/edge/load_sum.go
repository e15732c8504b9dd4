package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// loadSum tells the relay of another data centre what a whole data centre has in flight.
type loadSum struct {
	DataCentre string          `cbor:"1,keyasint"`
	Loads      []dispatch.Load `cbor:"2,keyasint"`
	// Position is the revision of the store up to which the sender knows everything.
	Position int64 `cbor:"3,keyasint,omitempty"`
}

func (m loadSum) apply(p *peers) { p.sums.DataCentre(time.Now(), m.DataCentre, m.Loads) }
