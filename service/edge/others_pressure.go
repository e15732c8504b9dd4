package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/overload"
)

// othersPressure is the notice in which a relay sends a node the pressure of the other nodes.
type othersPressure struct {
	// Rank is the sender's rank among the relays of the data centre; 0 is the primary relay.
	Rank     int               `cbor:"1,keyasint"`
	Pressure overload.Pressure `cbor:"2,keyasint"`
}

func (m othersPressure) apply(p *peers) {
	if m.Rank == 0 || p.duty.IsUnserved(time.Now()) {
		p.pressure.dispatcher.TrySend(othersPressureMessage{pressure: m.Pressure})
	}
}
