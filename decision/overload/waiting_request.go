package overload

import (
	"cmp"
	"time"
)

// WaitingRequest holds the properties that order a request among those that wait at a node.
type WaitingRequest struct {
	Workspace string
	// Priority is the stated priority; 0 is the most urgent.
	Priority int
	Arrived  time.Time
	// FirstEventBy is the time at which the objective for the first event ends; zero if there is none. FirstEventTime is the
	// shortest time from the placement to the first event.
	FirstEventBy   time.Time
	FirstEventTime time.Duration
	Deadline       time.Time
	// HoldUntil is the time until which the request may wait.
	HoldUntil time.Time
}

// IsAged reports whether the request has waited for half of the time that it may wait. It then no longer leaves room for more urgent
// requests, so that no class starves behind another one.
func (w *WaitingRequest) IsAged(now time.Time) bool {
	return now.Sub(w.Arrived) > w.HoldUntil.Sub(w.Arrived)/2
}

// IsLate reports whether the request can no longer reach its objective.
func (w *WaitingRequest) IsLate(now time.Time) bool {
	return !w.FirstEventBy.IsZero() && now.Add(w.FirstEventTime).After(w.FirstEventBy)
}

// Rank returns the rank of the request among those that wait at all nodes.
func (w *WaitingRequest) Rank(now time.Time, share FairShare) Rank {
	return NewRank(w.Priority, w.IsLate(now), share.Exceeds(w.Workspace))
}

// Compare orders two waiting requests: by rank, then the workspace with the smaller usage, then the deadline.
func (w *WaitingRequest) Compare(now time.Time, o *WaitingRequest, share FairShare) int {
	if c := cmp.Compare(w.Rank(now, share), o.Rank(now, share)); c != 0 {
		return c
	}
	if w.Workspace != o.Workspace {
		if c := cmp.Compare(share.Of(w.Workspace), share.Of(o.Workspace)); c != 0 {
			return c
		}
	}
	return cmp.Or(w.Deadline.Compare(o.Deadline), w.Arrived.Compare(o.Arrived))
}
