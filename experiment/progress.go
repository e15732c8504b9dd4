package experiment

import "time"

// Progress is the progress of a running load.
type Progress struct {
	Elapsed time.Duration
	// Ended is the number of requests that have ended, out of Total.
	Ended int
	Total int
}
