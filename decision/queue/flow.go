package queue

import (
	"slices"
	"time"
)

// flow holds the waiting items of one workspace in one class, oldest first.
type flow[T any] struct {
	items []*Item[T]
	// served is the virtual time up to which the workspace has been served.
	served float64
	// since is when an item was served last, moved up, or the workspace began to wait.
	since time.Time
}

// insert adds an item at its place by age.
func (f *flow[T]) insert(i *Item[T]) {
	at := len(f.items)
	for at > 0 && f.items[at-1].sequence > i.sequence {
		at--
	}
	f.items = slices.Insert(f.items, at, i)
}

// remove takes an item out.
func (f *flow[T]) remove(i *Item[T]) {
	if at := slices.Index(f.items, i); at >= 0 {
		f.items = slices.Delete(f.items, at, at+1)
	}
}
