package dispatch

import "time"

// Measurement holds the times that were measured of a run. Times that were not measured are 0.
type Measurement struct {
	// Events is the number of events that arrived in the time Elapsed, after an earlier event of the same run.
	Events  int
	Elapsed time.Duration
	// FirstEvent is the time from sending the request to its first event.
	FirstEvent time.Duration
	// Answer is the time from sending a plain call to its answer.
	Answer time.Duration
	// State is the slowdown that the endpoint stated in its answer.
	State float64
}
