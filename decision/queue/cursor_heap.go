package queue

// cursorHeap is a heap whose first cursor has the flow that was served least; among equals, the flow with the oldest item.
type cursorHeap[T any] []cursor[T]

// Len implements heap.Interface.
func (c cursorHeap[T]) Len() int { return len(c) }

// Less implements heap.Interface.
func (c cursorHeap[T]) Less(a, b int) bool {
	if c[a].flow.virtualFinish != c[b].flow.virtualFinish {
		return c[a].flow.virtualFinish < c[b].flow.virtualFinish
	}
	return c[a].flow.items[c[a].next].sequence < c[b].flow.items[c[b].next].sequence
}

// Swap implements heap.Interface.
func (c cursorHeap[T]) Swap(a, b int) { c[a], c[b] = c[b], c[a] }

// Push implements heap.Interface.
func (c *cursorHeap[T]) Push(x any) { *c = append(*c, x.(cursor[T])) }

// Pop implements heap.Interface.
func (c *cursorHeap[T]) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}
