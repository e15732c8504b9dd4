package quarantine

import (
	"time"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// releaseMessage ends a trial that had no outcome.
type releaseMessage struct {
	fingerprint quarantine.Fingerprint
}

func (r releaseMessage) apply(now time.Time, m *Manager) { m.table.Release(now, r.fingerprint) }
