package edge

import (
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// storeReadMessage carries all entries of the store.
type storeReadMessage struct {
	result backing.RangeResult
	// asOf is the time on the boot clock at which the read began.
	asOf   time.Time
	origin changeOrigin
}

func (m storeReadMessage) apply(v *view) {
	if v.isOutdated(m.result.Revision) {
		return
	}
	v.storeAnswered()
	v.beginEra(m.result.Revision)
	v.applyEvents(m.origin, v.mirror.Replace(m.result.Entries, m.result.Revision, m.asOf))
	v.publish()
}
