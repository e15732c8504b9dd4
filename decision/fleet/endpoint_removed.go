package fleet

import (
	"fmt"
	"time"
)

// EndpointRemoved is the change that the entry of an endpoint was deleted.
type EndpointRemoved struct {
	ID       string
	Revision int64
}

// apply keeps an endpoint whose entry may have lapsed during an outage of the key-value service, since a running endpoint writes its entry
// again. SettleRemovals decides whether it has lapsed.
func (c EndpointRemoved) apply(s *State, now time.Time) bool {
	m, ok := s.endpoints[c.ID]
	if !ok || m.endpoint.Revision > c.Revision {
		return false
	}
	// An endpoint that had announced its leave has left.
	if s.inDoubt(now) && !m.endpoint.Leaving {
		if m.lapsed {
			return false
		}
		// In a restored copy, any number of entries may be missing, so their share tells nothing.
		m.lapsed, m.unsettled = true, !s.readsNewEra
		m.missingSince, m.missingRevision = now, c.Revision
		return true
	}
	m.missingSince, m.missingRevision = now, c.Revision
	s.removeEndpoint(m)
	return true
}

// String implements fmt.Stringer.
func (c EndpointRemoved) String() string { return fmt.Sprintf("endpoint %s removed", c.ID) }
