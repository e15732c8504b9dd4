package experiment

import "time"

// Sample is what one caller saw.
type Sample struct {
	Arrival Arrival
	// Measured is false during the warm-up.
	Measured bool
	// FirstToken counts from the scheduled arrival; 0 when no token came.
	FirstToken time.Duration
	// Total counts from the scheduled arrival to the end of the answer.
	Total time.Duration
	// Intervals are the times between tokens.
	Intervals []time.Duration
	Tokens    int
	// Whole is set when the answer ended with its terminal mark.
	Whole   bool
	Status  int
	Verdict string
	Reason  string
	// Disorder counts parts that came twice, out of order, or from another generation.
	Disorder int
	// EndedAt is the time of the end after the start of the load.
	EndedAt time.Duration
}
