package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/gather"
)

// loadSum tells the relay of another data centre what a whole data centre has in flight.
type loadSum struct {
	DataCentre string        `cbor:"1,keyasint"`
	Update     gather.Update `cbor:"2,keyasint"`
	// Position is the revision of the store up to which the sender knows everything.
	Position int64 `cbor:"3,keyasint,omitempty"`
	// Relay is the node that sends.
	Relay string `cbor:"4,keyasint"`
}

func (m loadSum) apply(p *peers) { p.sums.DataCentre(time.Now(), m.DataCentre, m.Relay, m.Update) }
