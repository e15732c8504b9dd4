package kvserver

// Outage says how the service fails.
type Outage uint8

const (
	// OutageNone is normal service.
	OutageNone Outage = iota
	// OutageRefuse refuses every call at once and breaks open watches.
	OutageRefuse
	// OutageHang answers nothing, and keeps connections open.
	OutageHang
)
