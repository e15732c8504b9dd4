package engine

import (
	"maps"
	"slices"
	"time"
)

// maxCountedRequests bounds the request ids that Stats keeps.
const maxCountedRequests = 1 << 18

// Stats counts what an engine did, over all incarnations.
type Stats struct {
	// Requests counts the completion requests received by X-Request-Id, refused ones included.
	Requests map[string]int
	// Started counts the generations that entered the queue.
	Started int64
	// Completed counts the generations that reached their end.
	Completed int64
	// Cancelled counts the generations that were cancelled or abandoned; Abandoned only the latter.
	Cancelled int64
	Abandoned int64
	// Tokens counts the output tokens; PrefillTokens counts the computed input tokens, repeated ones included.
	Tokens        int64
	PrefillTokens int64
	Preemptions   int64
	// ColdExcess counts the requests that a cold engine received beyond its cold limit.
	ColdExcess int64
	Crashes    int64
	// Resumes counts the readers that attached to a known generation.
	Resumes int64
	// RefusedLeaving and RefusedStaleFence count refused requests and orders.
	RefusedLeaving    int64
	RefusedStaleFence int64
	// StaleOrdersRun counts the orders that were carried out although a newer fencing number had been seen.
	StaleOrdersRun int64
	Orders         []Order
	// LastAfterLeaving is how long after StartLeaving the last request arrived; 0 when none did.
	LastAfterLeaving time.Duration
	// PeakInFlight is the highest number of running and waiting requests; PeakCold the same while cold.
	PeakInFlight int
	PeakCold     int
	// Running and Waiting are the present numbers, and Cold the present state.
	Running int
	Waiting int
	Cold    bool
	// Role is the role that the last order gave.
	Role string

	earlierPreemptions int64
	earlierPrefill     int64
}

func newStats() Stats { return Stats{Requests: map[string]int{}} }

// received counts a completion request.
func (s *Stats) received(id string, now, leavingSince time.Time) {
	if len(s.Requests) < maxCountedRequests {
		s.Requests[id]++
	}
	if !leavingSince.IsZero() {
		s.LastAfterLeaving = now.Sub(leavingSince)
	}
}

// snapshotStats returns a copy for a reader.
func (t *task) snapshotStats() Stats {
	s := t.stats
	s.Requests = maps.Clone(s.Requests)
	s.Orders = slices.Clone(s.Orders)
	s.Running, s.Waiting, s.Cold = len(t.batch.running), len(t.batch.waiting), t.cold
	s.Role = t.role
	return s
}
