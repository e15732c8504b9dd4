package catalog

import "time"

// Route maps requests of a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Repeatability says whether a failed request may run again.
	Repeatability Repeatability
	// Streaming is set when the answer is an event stream.
	Streaming bool
	// Resumable is set when another endpoint can continue a stream after the last event that the caller received.
	Resumable bool
	// Timeout bounds the time from the arrival of a request to the end of its answer.
	Timeout time.Duration
	// FirstByteObjective is the latency objective for the first byte of an answer.
	FirstByteObjective time.Duration
	// PauseObjective is the latency objective for the pause between two events of a stream.
	PauseObjective time.Duration
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of endpoints to which one request is sent.
	MaxAttempts int
	// Public is set when requests need no API key.
	Public bool
	// Shares splits the requests between services in proportion to their weights.
	Shares []Share
}

// MayRepeat reports whether a request that may have run can be sent again from its start.
func (r *Route) MayRepeat() bool {
	return r.Repeatability == Repeatable || r.Streaming && r.Resumable
}

// Service returns the service that runs a request, chosen by a hash of the request id. It returns an empty string when no
// share has a weight.
func (r *Route) Service(hash uint64) string {
	total := uint64(0)
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	hash %= total
	for _, s := range r.Shares {
		if hash < s.Weight {
			return s.Service
		}
		hash -= s.Weight
	}
	return ""
}
