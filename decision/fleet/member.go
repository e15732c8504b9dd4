package fleet

import (
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/catalog"
)

// member is the state of one endpoint.
type member struct {
	endpoint  catalog.Endpoint
	coldUntil time.Time
	// lapsed is set while the entry is missing, possibly because of an outage of the key-value service. unsettled is set until
	// SettleRemovals has decided whether it lapsed or the endpoint has left.
	lapsed, unsettled bool
	// missingSince is the time at which the entry went missing, and missingRevision the revision of its removal.
	missingSince    time.Time
	missingRevision int64
}

// isRepeatedBy reports whether an entry of a later era has the same content as the known one. Its cold start began with the known one.
func (m *member) isRepeatedBy(e catalog.Endpoint) bool {
	if backing.RevisionEra(e.Revision) == backing.RevisionEra(m.endpoint.Revision) {
		return false
	}
	e.Revision, e.Leaving = m.endpoint.Revision, e.Leaving || m.endpoint.Leaving
	return e == m.endpoint
}
