package rollout

import (
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// term is the time for which this process is the decider.
type term struct {
	lease backing.LeaseID
	// revision is the revision of the decider's key, under which each write is conditional.
	revision int64
	// renewedAt is the time on the boot clock before the last successful renewal.
	renewedAt time.Time
}

// hasLapsed reports whether the lease may have ended, as it has after a suspension. Writes fail their condition by then.
func (t *term) hasLapsed(now time.Time) bool { return now.Sub(t.renewedAt) >= leaseTTL }
