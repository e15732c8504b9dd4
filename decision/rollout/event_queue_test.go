package rollout

import "time"

// simulatedEvent is something that happens at a time of a simulation.
type simulatedEvent struct {
	at  time.Duration
	run func()
}

// eventQueue orders events by time. It implements heap.Interface.
type eventQueue []simulatedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, k int) bool { return q[i].at < q[k].at }
func (q eventQueue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simulatedEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
