package quarantine

import (
	"time"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// answerMessage records that a request got its answer. The reply holds the marks that have changed.
type answerMessage struct {
	fingerprints []quarantine.Fingerprint
	reply        chan<- []quarantine.Mark
}

func (a answerMessage) apply(now time.Time, m *Manager) {
	changed := m.table.Completed(now, a.fingerprints)
	m.publish(now)
	a.reply <- changed
}
