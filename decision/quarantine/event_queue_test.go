package quarantine

import "time"

// eventQueue is a heap of the events of the simulation, by time.
type eventQueue []simulatedEvent

// simulatedEvent is a function that runs at a point of the virtual time.
type simulatedEvent struct {
	at  time.Time
	run func()
}

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
