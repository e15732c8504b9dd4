package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/overload"
)

// pressureReport is the notice in which a node sends its pressure to the relays of its data centre.
type pressureReport struct {
	Node     string            `cbor:"1,keyasint"`
	Pressure overload.Pressure `cbor:"2,keyasint"`
}

func (m pressureReport) apply(p *peers) {
	p.pressure.nodes.Record(time.Now(), m.Node, m.Pressure)
	p.pressure.relaySchedule.Request()
}
