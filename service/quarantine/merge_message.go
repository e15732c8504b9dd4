package quarantine

import (
	"time"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// mergeMessage adds marks from another node to the table.
type mergeMessage struct {
	marks []quarantine.Mark
}

func (g mergeMessage) apply(now time.Time, m *Manager) {
	m.merge(now, g.marks, "mark of another node applied")
}
