package plainservice

import "maps"

// Stats counts what the service did.
type Stats struct {
	// Runs counts the calls that were run by Idempotency-Key; calls without a key are under "".
	Runs map[string]int
	// Received counts all calls, and Ran those that were run.
	Received int64
	Ran      int64
	// RefusedLeaving and RefusedStaleFence count refused calls.
	RefusedLeaving    int64
	RefusedStaleFence int64
	// InFlight is the present number of calls, and PeakInFlight the highest.
	InFlight     int
	PeakInFlight int
}

// clone returns a copy for a reader.
func (s Stats) clone() Stats {
	s.Runs = maps.Clone(s.Runs)
	return s
}
