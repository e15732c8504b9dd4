package quarantine

import (
	"time"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// crashMessage records a crash. The reply holds the marks that have changed.
type crashMessage struct {
	seen  []quarantine.Mark
	reply chan<- []quarantine.Mark
}

func (c crashMessage) apply(now time.Time, m *Manager) {
	changed := m.table.Crashed(now, c.seen)
	m.publish(now)
	c.reply <- changed
}
