package rollout

import "time"

// reportMessage carries the counts of another process of this data centre.
type reportMessage struct {
	report Report
}

func (r reportMessage) apply(now time.Time, m *Manager) {
	if len(m.counts) == 0 {
		return
	}
	m.local.apply(r.report)
	m.sumChanged = true
	for _, s := range r.report.Services {
		m.adoptAge(now, rolloutKey{s.Service, s.Revision}, s.AgeMillis)
	}
}
