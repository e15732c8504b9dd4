package rollout

import (
	"time"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// unevaluatedMessage counts that a sent request has ended without a response for a reason unrelated to the version.
type unevaluatedMessage struct {
	key   rolloutKey
	group rollout.Group
	route string
}

func (u unevaluatedMessage) apply(_ time.Time, m *Manager) {
	if c := m.counts[u.key.service]; c != nil && c.isCurrent(u.key.revision) {
		c.tally.RecordUnevaluated(u.group, u.route)
		m.changed = true
	}
}
