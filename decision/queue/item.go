package queue

import "time"

// Item is one waiting request.
type Item[T any] struct {
	// Ticket identifies the item; it must be unique in the queue.
	Ticket    uint64
	Workspace string
	// Priority is from 0 to 9; higher priorities are served first. Values outside this range are clamped.
	Priority int
	// Weight is the relative share of the workspace; 0 or less means 1.
	Weight float64
	// Cost is the expected size of the request in tokens.
	Cost     float64
	Deadline time.Time
	Value    T

	arrived  time.Time
	sequence uint64
	class    int
	// removed marks an item that a scan has removed.
	removed bool
}

// Waited returns how long the item has been in the queue.
func (i *Item[T]) Waited(now time.Time) time.Duration { return now.Sub(i.arrived) }

// virtualCost returns the virtual time that the item takes: its cost, at least 1, divided by its weight.
func (i *Item[T]) virtualCost() float64 {
	if i.Weight <= 0 {
		return max(1, i.Cost)
	}
	return max(1, i.Cost) / i.Weight
}
