package engine

import (
	"maps"
	"slices"
	"time"
)

// maxCountedRequests bounds the size of Stats.Requests.
const maxCountedRequests = 1 << 18

// Stats holds the counters of an engine over all incarnations.
type Stats struct {
	// Requests counts the completion requests received, refused ones included, by X-Request-Id.
	Requests map[string]int
	// Started counts the generations that entered the queue.
	Started int64
	// Completed counts the generations that produced all their tokens.
	Completed int64
	// Cancelled counts the generations that were cancelled or abandoned; Abandoned counts only the abandoned ones.
	Cancelled int64
	Abandoned int64
	// Tokens counts the output tokens. PrefillTokens counts the prefilled tokens, including those computed again after a
	// preemption.
	Tokens        int64
	PrefillTokens int64
	Preemptions   int64
	// ColdExcess counts the requests that the engine received beyond Options.ColdLimit while it was cold.
	ColdExcess int64
	Crashes    int64
	// Resumes counts the readers that attached to an existing generation.
	Resumes int64
	// RefusedLeaving and RefusedStaleFence count refused requests and orders.
	RefusedLeaving    int64
	RefusedStaleFence int64
	// StaleOrdersApplied counts the orders that were accepted although a higher fencing token had been received.
	StaleOrdersApplied int64
	Orders             []Order
	// LastRequestAfterLeaving is the time from StartLeaving to the last request received after it, or 0 if there was none.
	LastRequestAfterLeaving time.Duration
	// PeakInFlight is the highest number of running and waiting requests; PeakCold is the highest number while cold.
	PeakInFlight int
	PeakCold     int
	// Running and Waiting are the current numbers of requests; Cold is the current state.
	Running int
	Waiting int
	Cold    bool
	// Role is the role set by the last role order of this incarnation.
	Role string

	earlierPreemptions int64
	earlierPrefill     int64
}

func newStats() Stats { return Stats{Requests: map[string]int{}} }

// countRequest counts a completion request.
func (s *Stats) countRequest(id string, now, leavingSince time.Time) {
	if len(s.Requests) < maxCountedRequests {
		s.Requests[id]++
	}
	if !leavingSince.IsZero() {
		s.LastRequestAfterLeaving = now.Sub(leavingSince)
	}
}

// snapshotStats returns a copy of the counters that other goroutines may read.
func (t *task) snapshotStats() Stats {
	s := t.stats
	s.Requests = maps.Clone(s.Requests)
	s.Orders = slices.Clone(s.Orders)
	s.Running, s.Waiting, s.Cold = len(t.batch.running), len(t.batch.waiting), t.cold
	s.Role = t.role
	return s
}
