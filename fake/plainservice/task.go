package plainservice

import (
	"time"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/transport/engine"
)

// task is the state of a service. It is owned by the goroutine of Run.
type task struct {
	options      Options
	stalledUntil *latest.Value[time.Time]
	stats        Stats
	// failuresLeft is the number of further calls that fail as failure specifies.
	failuresLeft int
	failure      Failure
	leaving      bool
	fence        uint64
}

// takeFailure returns the failure of the next call, and counts it.
func (t *task) takeFailure() Failure {
	if t.failuresLeft == 0 {
		return FailNone
	}
	t.failuresLeft--
	return t.failure
}

// checkCall returns the value of the refusal header for a call that must not run, or "".
func (t *task) checkCall(fence uint64) string {
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
