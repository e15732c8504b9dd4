package catalog

import "time"

// Route maps requests of a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Repeatability says whether a failed request may run again.
	Repeatability Repeatability
	// Streams is set when the answer is a series of events.
	Streams bool
	// Resumable streams may go on at another endpoint from the last event.
	Resumable bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time to the first byte of an answer that is on time.
	Objective time.Duration
	// PauseObjective is the longest pause between two events of a stream that is on time.
	PauseObjective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// MaxAttempts bounds the endpoints to which one request is sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Shares splits the requests between services.
	Shares []Share
}

// MayRepeat reports whether a request that may have run can be sent again from its start.
func (r *Route) MayRepeat() bool {
	return r.Repeatability == Repeatable || r.Streams && r.Resumable
}

// Service returns the service that takes the request, for a hash of its id.
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
