package peer

import "time"

// activityMessage reports that notices have arrived.
type activityMessage struct {
	at time.Time
}

func (m activityMessage) apply(l *link) { l.recordReceived(m.at) }
