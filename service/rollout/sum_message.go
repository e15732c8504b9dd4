package rollout

import "time"

// sumMessage carries the counts of another data centre.
type sumMessage struct {
	sum Sum
}

func (s sumMessage) apply(now time.Time, m *Manager) {
	if len(m.counts) == 0 {
		return
	}
	m.remote.apply(s.sum)
	for _, one := range s.sum.Services {
		m.adoptAge(now, rolloutKey{one.Service, one.Revision}, one.AgeMillis)
	}
}
