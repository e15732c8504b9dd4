package rollout

import (
	"time"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// sampleMessage counts the outcome of a request.
type sampleMessage struct {
	key    rolloutKey
	sample rollout.Sample
}

func (s sampleMessage) apply(_ time.Time, m *Manager) {
	if c := m.counts[s.key.service]; c != nil && c.isCurrent(s.key.revision) {
		c.tally.Record(s.sample)
		m.changed = true
	}
}
