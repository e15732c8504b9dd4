package fleet

import (
	"fmt"
	"time"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// PlanWritten is the change that the decider wrote the plan of a roll-out.
type PlanWritten struct {
	Plan     *rollout.Plan
	Revision int64
}

func (c PlanWritten) apply(s *State, _ time.Time) bool {
	if s.plans[c.Plan.Order.Service].Revision >= c.Revision {
		return false
	}
	s.plans[c.Plan.Order.Service] = StoredPlan(c)
	return true
}

// String implements fmt.Stringer.
func (c PlanWritten) String() string {
	p := c.Plan
	return fmt.Sprintf("roll-out of service %s to version %s: %s (%s), written by %s", p.Order.Service, p.Order.Target, p.Phase, p.Reason, p.Decider)
}
