package edge

import (
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// storeChangedMessage carries the answer of a poll.
type storeChangedMessage struct {
	batch backing.WatchBatch
	// asOf is when the batch was known to be complete, on the boot clock.
	asOf time.Time
}

func (m storeChangedMessage) apply(v *view) {
	v.regained()
	v.take(v.mirror.Apply(m.batch.Events, m.batch.Revision, m.asOf))
	v.publish()
}
