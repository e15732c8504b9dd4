package ratelimit

import "time"

// unreachableMessage reports that an owner did not answer.
type unreachableMessage struct {
	owner owner
}

func (u unreachableMessage) apply(now time.Time, m *Manager) {
	m.unreachableUntil[u.owner.node] = now.Add(unreachableTime)
}
