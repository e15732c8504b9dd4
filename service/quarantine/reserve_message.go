package quarantine

import (
	"time"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// reserveMessage merges a mark, requests the standing of its fingerprint, and reserves the trial of a suspect.
type reserveMessage struct {
	mark  quarantine.Mark
	reply chan<- quarantine.Standing
}

func (r reserveMessage) apply(now time.Time, m *Manager) {
	if m.table.Merge(now, r.mark) {
		m.publish(now)
	}
	r.reply <- m.table.Reserve(now, r.mark.Fingerprint)
}
