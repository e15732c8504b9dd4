package queue

import (
	"slices"
	"time"
)

// flow holds the waiting items of one workspace in one class, oldest first.
type flow[T any] struct {
	items []*Item[T]
	// virtualFinish is the virtual finish time of the latest served item of the workspace, or the virtual time of the class when
	// the workspace began to wait if that is later.
	virtualFinish float64
	// waitingSince is the time when an item was last served or promoted, or when the workspace began to wait.
	waitingSince time.Time
}

// insert adds an item in the order of arrival.
func (f *flow[T]) insert(i *Item[T]) {
	at := len(f.items)
	for at > 0 && f.items[at-1].sequence > i.sequence {
		at--
	}
	f.items = slices.Insert(f.items, at, i)
}

func (f *flow[T]) remove(i *Item[T]) {
	if at := slices.Index(f.items, i); at >= 0 {
		f.items = slices.Delete(f.items, at, at+1)
	}
}
