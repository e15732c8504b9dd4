package fleet

import (
	"fmt"
	"time"
)

// EndpointRemoved says that an endpoint's entry is gone.
type EndpointRemoved struct {
	ID       string
	Revision int64
}

// apply keeps an endpoint whose entry lapsed while the service was away: a living endpoint writes it again.
func (c EndpointRemoved) apply(s *State, now time.Time) bool {
	m, ok := s.endpoints[c.ID]
	if !ok || m.endpoint.Revision > c.Revision {
		return false
	}
	if s.away || now.Before(s.lapseUntil) {
		if m.lapsed {
			return false
		}
		m.lapsed = true
		return true
	}
	delete(s.endpoints, c.ID)
	return true
}

// String implements fmt.Stringer.
func (c EndpointRemoved) String() string { return fmt.Sprintf("endpoint %s removed", c.ID) }
