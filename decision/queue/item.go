package queue

import "time"

// Item is one waiting request.
type Item[T any] struct {
	// Ticket identifies the item; it must be unique in the queue.
	Ticket    uint64
	Workspace string
	// Priority is from 0 to 9; higher is served first. Values outside are clamped.
	Priority int
	// Weight is the share of the workspace, above 0; 0 means 1.
	Weight float64
	// Cost is the expected work in tokens.
	Cost     float64
	Deadline time.Time
	Value    T

	arrived  time.Time
	sequence uint64
	class    int
	gone     bool
}

// Waited returns how long the item has been in the queue.
func (i *Item[T]) Waited(now time.Time) time.Duration { return now.Sub(i.arrived) }

// share returns the virtual time that serving the item takes.
func (i *Item[T]) share() float64 {
	if i.Weight <= 0 {
		return max(1, i.Cost)
	}
	return max(1, i.Cost) / i.Weight
}
