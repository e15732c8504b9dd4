package quarantine

import (
	"time"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// proofMessage records the complete answer of a request without evidence against its fingerprints.
type proofMessage struct {
	fingerprints []quarantine.Fingerprint
}

func (p proofMessage) apply(now time.Time, m *Manager) { m.table.Completed(now, p.fingerprints) }
