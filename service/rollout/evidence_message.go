package rollout

import (
	"time"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// evidenceMessage asks for what this relay knows of the roll-out of a service.
type evidenceMessage struct {
	key   rolloutKey
	plan  *rollout.Plan
	reply chan<- rollout.Evidence
}

func (e evidenceMessage) apply(now time.Time, m *Manager) { e.reply <- m.evidence(now, e.key, e.plan) }
