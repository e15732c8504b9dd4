package experiment

import "time"

// Progress says how far a load is.
type Progress struct {
	Elapsed time.Duration
	// Ended is the number of requests that have ended, of Total.
	Ended int
	Total int
}
