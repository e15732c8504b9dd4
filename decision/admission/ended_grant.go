package admission

import "time"

// endedGrant holds the times of a grant whose end was reported.
type endedGrant struct {
	grantedAt, endedAt time.Time
}
