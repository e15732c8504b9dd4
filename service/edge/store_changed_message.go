package edge

import (
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// storeChangedMessage carries the result of a poll.
type storeChangedMessage struct {
	batch backing.WatchBatch
	// asOf is the time on the boot clock up to which the batch is complete.
	asOf   time.Time
	origin changeOrigin
}

func (m storeChangedMessage) apply(v *view) {
	if v.isOutdated(m.batch.Revision) {
		return
	}
	v.storeAnswered()
	v.applyEvents(m.origin, v.mirror.Apply(m.batch.Events, m.batch.Revision, m.asOf))
	v.publish()
}
