package experiment

import "time"

// Sample holds the measurements of one request at the caller.
type Sample struct {
	Arrival Arrival
	// Measured is false for requests that arrive during the warm-up.
	Measured bool
	// FirstToken is the time from the scheduled arrival to the first token, 0 if none was received.
	FirstToken time.Duration
	// Total is the time from the scheduled arrival to the end of the response.
	Total time.Duration
	// Intervals holds the times between consecutive tokens.
	Intervals []time.Duration
	Tokens    int
	// Complete is set if the response was received up to its end: the terminator of a stream, or the end of the body.
	Complete bool
	Status   int
	Verdict  string
	// Reason is the error code of the response or an error of the caller, empty if there was none.
	Reason string
	// SequenceErrors counts stream events that were received twice, out of order, or from another generation.
	SequenceErrors int
	// EndedAt is the end of the request, relative to the start of the load.
	EndedAt time.Duration
}
