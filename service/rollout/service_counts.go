package rollout

import (
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// serviceCounts holds the counts of this process for the roll-out of one service.
type serviceCounts struct {
	order rollout.Order
	// previous is the revision of the order that the present one repeats; 0 if there is none. Requests that were sent under it
	// still count.
	previous int64
	// seenAt is the time at which the process saw the order, or an earlier one by which another process has seen it.
	seenAt time.Time
	tally  rollout.Tally
	// stoppedUntil is the end of the last stop notice; zero if there is none.
	stoppedUntil time.Time
}

func (c *serviceCounts) isCurrent(revision int64) bool {
	return revision == c.order.Revision || revision == c.previous && revision != 0
}

// copyTally returns a copy of the counts that later counts don't change.
func (c *serviceCounts) copyTally() rollout.Tally {
	return c.tally.Clone()
}

func (c *serviceCounts) fields(now time.Time) []zap.Field {
	return []zap.Field{
		zap.String("service", c.order.Service), zap.String("target", c.order.Target), zap.Int64("order", c.order.Revision),
		zap.Duration("age", now.Sub(c.seenAt)),
	}
}
