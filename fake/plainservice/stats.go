package plainservice

import "maps"

// Stats holds the counters of a service.
type Stats struct {
	// Runs counts the calls that were run, by Idempotency-Key. Calls without a key are counted under "".
	Runs map[string]int
	// Received counts all calls; Ran counts those that were run.
	Received int64
	Ran      int64
	// RefusedLeaving and RefusedStaleFence count refused calls.
	RefusedLeaving    int64
	RefusedStaleFence int64
	// InFlight is the current number of running calls; PeakInFlight is the highest number.
	InFlight     int
	PeakInFlight int
}

// clone returns a copy that other goroutines may read.
func (s Stats) clone() Stats {
	s.Runs = maps.Clone(s.Runs)
	return s
}
