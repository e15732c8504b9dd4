package plainservice

import (
	"time"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/transport/engine"
)

// task is the state that the goroutine of Run owns.
type task struct {
	options      Options
	stalledUntil *latest.Value[time.Time]
	stats        Stats
	// failures is the number of calls that are still to fail in the way of failure.
	failures int
	failure  Failure
	leaving  bool
	fence    uint64
}

// takeFailure returns how the next call fails.
func (t *task) takeFailure() Failure {
	if t.failures == 0 {
		return FailNone
	}
	t.failures--
	return t.failure
}

// refuses returns the reason for which a call is not run, or "".
func (t *task) refuses(fence uint64) string {
	if t.leaving {
		t.stats.RefusedLeaving++
		return engine.RefusedLeaving
	}
	if fence < t.fence && t.options.HonoursFencing {
		t.stats.RefusedStaleFence++
		return engine.RefusedStaleFence
	}
	t.fence = max(t.fence, fence)
	return ""
}
