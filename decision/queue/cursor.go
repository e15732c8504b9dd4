package queue

// cursor is the position of a scan in one flow.
type cursor[T any] struct {
	flow *flow[T]
	next int
}
