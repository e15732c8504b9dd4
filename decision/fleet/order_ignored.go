package fleet

import (
	"fmt"
	"time"
)

// OrderIgnored is the change that operators wrote an order that cannot be used. The earlier order stays in force; a process that
// has not seen it takes it from the plan.
type OrderIgnored struct {
	Service  string
	Revision int64
}

func (c OrderIgnored) apply(s *State, _ time.Time) bool {
	if _, ok := s.orders[c.Service]; ok || s.unreadable[c.Service] {
		return false
	}
	s.unreadable[c.Service] = true
	return true
}

// String implements fmt.Stringer.
func (c OrderIgnored) String() string { return fmt.Sprintf("order of service %s ignored", c.Service) }
