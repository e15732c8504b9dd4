package admission

import "time"

// sample is the number of requests that a load report counted at one time.
type sample struct {
	taken    time.Time
	requests int
}
