package rollout

import "time"

// reportMessage carries the counts of another process of this data centre.
type reportMessage struct {
	report Report
}

func (r reportMessage) apply(_ time.Time, m *Manager) {
	if len(m.counts) > 0 {
		m.local.apply(r.report)
		m.sumChanged = true
	}
}
