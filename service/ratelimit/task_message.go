package ratelimit

import "time"

// taskMessage is a message to the task of a Manager.
type taskMessage interface {
	apply(now time.Time, m *Manager)
}
