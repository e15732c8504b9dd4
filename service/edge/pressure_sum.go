package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/overload"
)

// pressureSum is the notice in which a relay sends the pressure of its data centre to the relays of other data centres.
type pressureSum struct {
	DataCentre string            `cbor:"1,keyasint"`
	Pressure   overload.Pressure `cbor:"2,keyasint"`
}

func (m pressureSum) apply(p *peers) {
	p.pressure.dataCentres.Record(time.Now(), m.DataCentre, m.Pressure)
	p.pressure.relaySchedule.Request()
}
