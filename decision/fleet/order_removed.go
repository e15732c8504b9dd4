package fleet

import (
	"fmt"
	"time"
)

// OrderRemoved is the change that operators removed the order of a roll-out.
type OrderRemoved struct {
	Service  string
	Revision int64
}

func (c OrderRemoved) apply(s *State, _ time.Time) bool {
	known, ok := s.orders[c.Service]
	if !ok && !s.unreadable[c.Service] || known.Revision > c.Revision {
		return false
	}
	delete(s.unreadable, c.Service)
	delete(s.orders, c.Service)
	return true
}

// String implements fmt.Stringer.
func (c OrderRemoved) String() string { return fmt.Sprintf("order of service %s removed", c.Service) }
