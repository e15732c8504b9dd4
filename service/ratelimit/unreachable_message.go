package ratelimit

import "time"

// unreachableMessage reports that an owner did not answer.
type unreachableMessage struct {
	owner owner
}

func (u unreachableMessage) apply(now time.Time, m *Manager) {
	m.unreachableUntil[u.owner.ID] = now.Add(unreachableTime)
}
