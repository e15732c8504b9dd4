package fleet

import (
	"fmt"
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// EndpointWritten is the change that an endpoint wrote its entry.
type EndpointWritten struct {
	Endpoint catalog.Endpoint
}

// apply ignores an entry that is older than what is known of the endpoint, since changes may arrive out of order.
func (c EndpointWritten) apply(s *State, now time.Time) bool {
	if s.isOutdated(&c.Endpoint) {
		return false
	}
	known, ok := s.endpoints[c.Endpoint.ID]
	delete(s.departed, c.Endpoint.ID)
	if ok && known.isRepeatedBy(c.Endpoint) {
		changed := known.lapsed
		known.endpoint.Revision, known.lapsed, known.unsettled = c.Endpoint.Revision, false, false
		return changed
	}
	m := &member{endpoint: c.Endpoint, coldUntil: now.Add(c.Endpoint.ColdFor)}
	if ok && known.endpoint.SameIncarnation(&c.Endpoint) {
		if known.endpoint.Leaving {
			// An incarnation that is leaving does not return to service.
			m.endpoint.Leaving = true
		}
	}
	s.endpoints[c.Endpoint.ID] = m
	return true
}

// String implements fmt.Stringer.
func (c EndpointWritten) String() string {
	e := c.Endpoint
	return fmt.Sprintf("endpoint %s of %s at %s in %s, leaving: %t, cold for %v", e.ID, e.Service, e.Address, e.DataCentre, e.Leaving, e.ColdFor)
}
