package catalog

import (
	"cmp"
	"time"
)

// Endpoint is one incarnation of a process that runs requests of a service.
type Endpoint struct {
	// ID identifies the process, and Born identifies its incarnation.
	ID         string
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Version is the version of the endpoint's software; empty if it is unknown.
	Version string
	// Leaving is set when the endpoint must get no new requests.
	Leaving bool
	// ColdFor is the time for which the endpoint stays cold, counted from the read of its store entry.
	ColdFor time.Duration
	// Revision is the revision of the store entry.
	Revision int64
	// Sequence counts what the incarnation has written in the store; 0 if it does not count.
	Sequence int64
}

// SameIncarnation reports whether both are the same incarnation of the same process.
func (e *Endpoint) SameIncarnation(o *Endpoint) bool {
	return e.ID == o.ID && e.Born == o.Born && e.Address == o.Address && e.Service == o.Service
}

// Compare returns a negative number if e was written before o, a positive number if it was written after o, and 0 if the counts of writes do
// not tell. Of two incarnations that began at the same time, e counts as the later one. Revisions are not compared, since a restored store
// gives them out again.
func (e *Endpoint) Compare(o *Endpoint) int {
	if e.Born == o.Born && !e.SameIncarnation(o) {
		return 1
	}
	return cmp.Or(cmp.Compare(e.Born, o.Born), cmp.Compare(e.Sequence, o.Sequence))
}
