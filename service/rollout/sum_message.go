package rollout

import "time"

// sumMessage carries the counts of another data centre.
type sumMessage struct {
	sum Sum
}

func (s sumMessage) apply(_ time.Time, m *Manager) {
	if len(m.counts) > 0 {
		m.remote.apply(s.sum)
	}
}
