// Package latest publishes immutable snapshots of a task's state to any number of readers.
package latest

import "sync/atomic"

// Value holds the newest snapshot. Exactly one task may publish; any goroutine may read.
type Value[T any] struct {
	current atomic.Pointer[snapshot[T]]
}

// snapshot is one published snapshot; changed is closed when the next one is published.
type snapshot[T any] struct {
	value   T
	changed chan struct{}
}

// New returns a Value that holds the given snapshot.
func New[T any](value T) *Value[T] {
	v := &Value[T]{}
	v.current.Store(&snapshot[T]{value: value, changed: make(chan struct{})})
	return v
}

// Load returns the newest snapshot, which must not be modified.
func (v *Value[T]) Load() T { return v.current.Load().value }

// Watch returns the newest snapshot and a channel that is closed once a newer one is published.
func (v *Value[T]) Watch() (T, <-chan struct{}) {
	c := v.current.Load()
	return c.value, c.changed
}

// Publish replaces the snapshot and wakes the readers that wait on the channel from Watch.
func (v *Value[T]) Publish(value T) {
	old := v.current.Swap(&snapshot[T]{value: value, changed: make(chan struct{})})
	close(old.changed)
}
