package fleet

import (
	"fmt"
	"time"
)

// PlanRemoved is the change that the plan of a roll-out was deleted, which only operators do.
type PlanRemoved struct {
	Service  string
	Revision int64
}

func (c PlanRemoved) apply(s *State, _ time.Time) bool {
	if known, ok := s.plans[c.Service]; !ok || known.Revision > c.Revision {
		return false
	}
	delete(s.plans, c.Service)
	return true
}

// String implements fmt.Stringer.
func (c PlanRemoved) String() string { return fmt.Sprintf("plan of service %s removed", c.Service) }
