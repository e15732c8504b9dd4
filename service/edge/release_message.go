package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// releaseMessage ends a run.
type releaseMessage struct {
	run     uint64
	outcome dispatch.Outcome
}

func (m releaseMessage) apply(d *dispatcher) {
	delete(d.leaving, m.run)
	d.table.Release(time.Now(), m.run, m.outcome)
	d.retryWaiting()
}
