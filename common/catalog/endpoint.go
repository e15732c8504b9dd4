package catalog

import "time"

// Endpoint is one incarnation of a process that runs requests of a service.
type Endpoint struct {
	// ID names the process; Born tells its incarnations apart.
	ID         string
	Born       int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving endpoints get no new work.
	Leaving bool
	// ColdFor is how long the endpoint is cold, counted from when its entry was read.
	ColdFor time.Duration
	// Revision is that of the entry in the store.
	Revision int64
}

// Same reports whether both are the same incarnation of the same process.
func (e *Endpoint) Same(o *Endpoint) bool {
	return e.ID == o.ID && e.Born == o.Born && e.Address == o.Address && e.Service == o.Service
}
