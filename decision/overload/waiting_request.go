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

// Level returns the priority after ageing. A request that can still reach its objective is raised by one level when half of the time
// that it may wait for that has passed, and by a further one each time that half of the rest has passed, up to the most urgent priority,
// so that no class starves. It is not raised above it: in simulation, others then left room to requests that could hardly be in time
// any more. A late request is not raised, because it would make those of its own class late that still can be in time.
func (w *WaitingRequest) Level(now time.Time) int {
	if w.IsLate(now) {
		return w.Priority
	}
	until := w.HoldUntil
	if last := w.FirstEventBy.Add(-w.FirstEventTime); !w.FirstEventBy.IsZero() && last.Before(until) {
		until = last
	}
	level, left, remaining := w.Priority, until.Sub(w.Arrived), until.Sub(now)
	for level > 0 {
		left /= 2
		if left <= 0 || remaining > left {
			break
		}
		level--
	}
	return level
}

// IsLate reports whether the request can no longer reach its objective.
func (w *WaitingRequest) IsLate(now time.Time) bool {
	return !w.FirstEventBy.IsZero() && now.Add(w.FirstEventTime).After(w.FirstEventBy)
}

// Rank returns the rank to which others leave room, on all nodes: by priority after ageing, then those that can reach their objective,
// then the workspaces that use no more than their fair share.
func (w *WaitingRequest) Rank(now time.Time, share FairShare) int {
	rank := 4 * w.Level(now)
	if w.IsLate(now) {
		rank += 2
	}
	if share.Exceeds(w.Workspace) {
		rank++
	}
	return rank
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
