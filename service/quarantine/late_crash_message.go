package quarantine

import (
	"time"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// lateCrashMessage records a crash under a request that had begun its answer. The reply holds the marks that have changed.
type lateCrashMessage struct {
	seen  []quarantine.Mark
	reply chan<- []quarantine.Mark
}

func (c lateCrashMessage) apply(now time.Time, m *Manager) {
	changed := m.table.CrashedLate(now, c.seen)
	m.publish(now)
	c.reply <- changed
}
