package rollout

import "time"

// stopMessage applies a stop notice on this node.
type stopMessage struct {
	stop Stop
}

func (s stopMessage) apply(now time.Time, m *Manager) {
	c := m.counts[s.stop.Service]
	if c == nil || !c.isCurrent(s.stop.Revision) {
		return
	}
	if c.stoppedUntil.IsZero() {
		m.log.Warn("the decider cannot write plans; the target gets nothing", c.fields(now)...)
		m.metrics.stops.Inc(1)
	}
	c.stoppedUntil = now.Add(stopTTL)
	m.dispatcher.SetStopped(s.stop.Service, m.planRevision(s.stop.Service), true)
}
