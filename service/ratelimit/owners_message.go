package ratelimit

import "time"

// ownersMessage asks for the nodes that may keep the budget of an endpoint, in the order in which they are asked.
type ownersMessage struct {
	endpoint Endpoint
	reply    chan<- []owner
}

func (o ownersMessage) apply(now time.Time, m *Manager) { o.reply <- m.ownersOf(now, o.endpoint) }
