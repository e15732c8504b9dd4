package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// Guards against an older order, plan or deletion that replaces a newer one.
func TestOlderOrderOrPlanIsIgnored(t *testing.T) {
	s := NewState()
	order := rollout.Order{Service: "s", Target: "v2", Duration: time.Second, Revision: 5}
	assert.Assert(t, s.Apply(start, OrderWritten{Order: order}))
	assert.Assert(t, !s.Apply(start, OrderWritten{Order: rollout.Order{Service: "s", Target: "v1", Duration: time.Second, Revision: 4}}))
	assert.Assert(t, !s.Apply(start, OrderRemoved{Service: "s", Revision: 4}))
	assert.Assert(t, s.Apply(start, PlanWritten{Plan: &rollout.Plan{Order: order, Phase: rollout.Reverted}, Revision: 9}))
	assert.Assert(t, !s.Apply(start, PlanWritten{Plan: &rollout.Plan{Order: order, Phase: rollout.Observing}, Revision: 8}))
	assert.Assert(t, !s.Apply(start, PlanRemoved{Service: "s", Revision: 8}))
	snapshot := s.Snapshot()
	assert.Equal(t, snapshot.Orders["s"], order)
	assert.Equal(t, snapshot.Plans["s"].Plan.Phase, rollout.Reverted)
	assert.Equal(t, snapshot.Plans["s"].Revision, int64(9))
}

// Guards against a restarted node that takes an order that it cannot read for one that was removed.
func TestUnreadableOrderLeavesThePlansOrderInForce(t *testing.T) {
	s := NewState()
	order := rollout.Order{Service: "s", Target: "v2", Duration: time.Second, Revision: 5}
	s.Apply(start, PlanWritten{Plan: &rollout.Plan{Order: order, Phase: rollout.Observing}, Revision: 6})
	assert.Equal(t, len(s.Snapshot().Orders), 0)
	assert.Assert(t, s.Apply(start, OrderIgnored{Service: "s", Revision: 7}))
	assert.Equal(t, s.Snapshot().Orders["s"], order)
	assert.Assert(t, s.Apply(start, OrderRemoved{Service: "s", Revision: 8}))
	assert.Equal(t, len(s.Snapshot().Orders), 0)
}
