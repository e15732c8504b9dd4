package rollout

import (
	"time"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// firstEventMessage counts the time to the first event of a request.
type firstEventMessage struct {
	key    rolloutKey
	sample rollout.Sample
}

func (f firstEventMessage) apply(_ time.Time, m *Manager) {
	if c := m.counts[f.key.service]; c != nil && c.isCurrent(f.key.revision) {
		c.tally.RecordFirstEvent(f.sample)
		m.changed = true
	}
}
