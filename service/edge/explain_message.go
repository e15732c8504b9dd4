package edge

import (
	"math/rand/v2"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// explainMessage asks where a request would go, without placing it.
type explainMessage struct {
	request dispatch.HeldRequest
	reply   chan<- dispatch.Explanation
}

func (m explainMessage) apply(d *dispatcher) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m.reply <- d.queue.Explain(time.Now(), m.request, random)
}
