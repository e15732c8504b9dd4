package quarantine

import (
	"time"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// restoreMessage adds marks from the key-value service to the table. The reply is sent once they hold.
type restoreMessage struct {
	marks []quarantine.Mark
	reply chan<- struct{}
}

func (r restoreMessage) apply(now time.Time, m *Manager) {
	m.merge(now, r.marks, "mark of the key-value service applied")
	r.reply <- struct{}{}
}
