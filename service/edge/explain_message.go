package edge

import (
	"math/rand/v2"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// explainMessage asks for a copy of the placement state of a service, on which a choice can be played. The dispatcher only makes the
// copy, because playing the choice takes several times as long.
type explainMessage struct {
	service string
	reply   chan<- *dispatch.Queue
}

func (m explainMessage) apply(d *dispatcher) {
	m.reply <- d.queue.Snapshot(m.service, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}
