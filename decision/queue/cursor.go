package queue

// cursor is the position of a scan in one flow.
type cursor[T any] struct {
	flow *flow[T]
	next int
}

// cursors is a heap that yields the flow that was served least, and the oldest item among equals.
type cursors[T any] []cursor[T]

// Len implements heap.Interface.
func (c cursors[T]) Len() int { return len(c) }

// Less implements heap.Interface.
func (c cursors[T]) Less(a, b int) bool {
	if c[a].flow.served != c[b].flow.served {
		return c[a].flow.served < c[b].flow.served
	}
	return c[a].flow.items[c[a].next].sequence < c[b].flow.items[c[b].next].sequence
}

// Swap implements heap.Interface.
func (c cursors[T]) Swap(a, b int) { c[a], c[b] = c[b], c[a] }

// Push implements heap.Interface.
func (c *cursors[T]) Push(x any) { *c = append(*c, x.(cursor[T])) }

// Pop implements heap.Interface.
func (c *cursors[T]) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}
