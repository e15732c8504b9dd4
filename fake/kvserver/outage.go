package kvserver

// Outage is the way in which the service fails.
type Outage uint8

const (
	// OutageNone is normal service.
	OutageNone Outage = iota
	// OutageRefuse refuses every call immediately and aborts open watches.
	OutageRefuse
	// OutageHang answers no calls and keeps connections open.
	OutageHang
)
