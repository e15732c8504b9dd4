package overload

import (
	"cmp"
	"time"
)

// maxAgeing bounds the levels by which a request is raised. The time that is left halves with each level.
const maxAgeing = 8

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

// Level returns the priority after ageing. A request is raised by one level when half of its time has passed, and by a further one
// each time that half of the rest has passed, so that no priority keeps another waiting to the end.
func (w *WaitingRequest) Level(now time.Time) int {
	level, left := w.Priority, w.HoldUntil.Sub(w.Arrived)
	remaining := w.HoldUntil.Sub(now)
	for range maxAgeing {
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

// Compare orders two waiting requests: first by priority after ageing, then those that can reach their objective, then the
// workspace with the smaller usage, then the deadline. usage returns the usage of a workspace relative to its share.
func (w *WaitingRequest) Compare(now time.Time, o *WaitingRequest, usage func(workspace string) float64) int {
	if c := cmp.Compare(w.Level(now), o.Level(now)); c != 0 {
		return c
	}
	if late, otherLate := w.IsLate(now), o.IsLate(now); late != otherLate {
		if late {
			return 1
		}
		return -1
	}
	if w.Workspace != o.Workspace {
		if c := cmp.Compare(usage(w.Workspace), usage(o.Workspace)); c != 0 {
			return c
		}
	}
	return cmp.Or(w.Deadline.Compare(o.Deadline), w.Arrived.Compare(o.Arrived))
}
