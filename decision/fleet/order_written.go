package fleet

import (
	"fmt"
	"time"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// OrderWritten is the change that operators ordered a roll-out.
type OrderWritten struct {
	Order rollout.Order
}

func (c OrderWritten) apply(s *State, _ time.Time) bool {
	if known, ok := s.orders[c.Order.Service]; ok && known.Revision >= c.Order.Revision {
		return false
	}
	s.orders[c.Order.Service] = c.Order
	delete(s.unreadable, c.Order.Service)
	return true
}

// String implements fmt.Stringer.
func (c OrderWritten) String() string {
	return fmt.Sprintf("roll-out of service %s to version %s within %v ordered", c.Order.Service, c.Order.Target, c.Order.Duration)
}
