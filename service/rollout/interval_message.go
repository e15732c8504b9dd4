package rollout

import (
	"time"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// intervalMessage counts the time between the events of a request that has not ended.
type intervalMessage struct {
	key    rolloutKey
	sample rollout.Sample
}

func (i intervalMessage) apply(_ time.Time, m *Manager) {
	if c := m.counts[i.key.service]; c != nil && c.isCurrent(i.key.revision) {
		c.tally.RecordInterval(i.sample)
		m.changed = true
	}
}
