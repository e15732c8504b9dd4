package quarantine

import (
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// mergeMessage adds marks from another node to the table.
type mergeMessage struct {
	marks []quarantine.Mark
}

func (g mergeMessage) apply(now time.Time, m *Manager) {
	var changed []quarantine.Mark
	for _, mark := range g.marks {
		if m.table.Merge(now, mark) {
			changed = append(changed, mark)
			m.logMark(zap.InfoLevel, "mark of another node applied", mark)
		}
	}
	if len(changed) == 0 {
		return
	}
	m.publish(now)
	m.peers.Forward(changed)
}
