package rollout

import "time"

// taskMessage is a message to the task of a Manager. now is on the boot clock.
type taskMessage interface {
	apply(now time.Time, m *Manager)
}
