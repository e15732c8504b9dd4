package edge

import (
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// storeReadMessage carries everything that the store held.
type storeReadMessage struct {
	result backing.RangeResult
	// asOf is when the read began, on the boot clock.
	asOf time.Time
}

func (m storeReadMessage) apply(v *view) {
	v.regained()
	v.take(v.mirror.Replace(m.result.Entries, m.result.Revision, m.asOf))
	v.publish()
}
