package rollout

import (
	"time"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// sendMessage counts a request that was sent to an endpoint.
type sendMessage struct {
	key   rolloutKey
	group rollout.Group
	route string
}

func (s sendMessage) apply(_ time.Time, m *Manager) {
	if c := m.counts[s.key.service]; c != nil && c.isCurrent(s.key.revision) {
		c.tally.RecordSend(s.group, s.route)
		m.changed = true
	}
}
