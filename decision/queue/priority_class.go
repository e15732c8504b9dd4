package queue

import (
	"container/heap"
	"slices"
	"time"
)

// maxIdleFlows is the maximum number of workspaces without waiting items whose virtual finish time is kept.
const maxIdleFlows = 4096

// priorityClass holds the waiting items of one priority. Workspaces share it by start-time fair queueing: the workspace that
// was served least in proportion to its weight is next.
type priorityClass[T any] struct {
	flows map[string]*flow[T]
	// virtualTime is the largest virtual start time of the items that were served.
	virtualTime float64
	// length is the number of waiting items.
	length int
	// cursors is the heap of the current scan; its memory is reused.
	cursors cursorHeap[T]
}

// insert adds an item to the flow of its workspace.
func (c *priorityClass[T]) insert(now time.Time, i *Item[T]) {
	f := c.flows[i.Workspace]
	if f == nil {
		if len(c.flows) >= maxIdleFlows+c.length {
			c.evictIdleFlows()
		}
		f = &flow[T]{}
		c.flows[i.Workspace] = f
	}
	if len(f.items) == 0 {
		// A workspace gets no credit for the time during which it was idle.
		f.virtualFinish = max(f.virtualFinish, c.virtualTime)
		f.waitingSince = now
	}
	f.insert(i)
	c.length++
}

// remove removes a waiting item.
func (c *priorityClass[T]) remove(i *Item[T]) {
	c.flows[i.Workspace].remove(i)
	c.decreaseLength(1)
}

// charge adds the cost of a served item to its workspace.
func (c *priorityClass[T]) charge(now time.Time, i *Item[T]) {
	f := c.flows[i.Workspace]
	f.waitingSince = now
	c.virtualTime = max(c.virtualTime, f.virtualFinish)
	f.virtualFinish += i.virtualCost()
}

// evictIdleFlows removes the idle workspaces whose virtual finish time has passed, or all idle ones if there are none of these.
func (c *priorityClass[T]) evictIdleFlows() {
	previousCount := len(c.flows)
	for _, all := range []bool{false, true} {
		for name, f := range c.flows {
			if len(f.items) == 0 && (all || f.virtualFinish <= c.virtualTime) {
				delete(c.flows, name)
			}
		}
		if len(c.flows) < previousCount {
			return
		}
	}
}

// scan calls try for the items in fair queueing order until it returns Stop, and removes the items for which it returns Take or
// Drop. It reports whether it reached the end of the class.
func (c *priorityClass[T]) scan(now time.Time, try func(*Item[T]) ScanAction) bool {
	c.cursors = c.cursors[:0]
	for _, f := range c.flows {
		if len(f.items) > 0 {
			c.cursors = append(c.cursors, cursor[T]{flow: f})
		}
	}
	heap.Init(&c.cursors)
	removed := 0
	completed := true
	for completed && len(c.cursors) > 0 {
		first := &c.cursors[0]
		item := first.flow.items[first.next]
		switch try(item) {
		case Stop:
			completed = false
		case Take:
			c.charge(now, item)
			item.removed = true
			removed++
		case Drop:
			item.removed = true
			removed++
		}
		first.next++
		if first.next == len(first.flow.items) {
			heap.Pop(&c.cursors)
			continue
		}
		heap.Fix(&c.cursors, 0)
	}
	if removed > 0 {
		c.removeMarked(removed)
	}
	return completed
}

// removeStarved removes and returns the oldest item of each workspace that was not served during the last interval.
func (c *priorityClass[T]) removeStarved(now time.Time, interval time.Duration) []*Item[T] {
	var items []*Item[T]
	for _, f := range c.flows {
		if len(f.items) > 0 && now.Sub(f.waitingSince) >= interval {
			items = append(items, f.items[0])
			f.waitingSince = now
		}
	}
	for _, i := range items {
		c.remove(i)
	}
	return items
}

// removeMarked deletes the items that are marked as removed from their flows.
func (c *priorityClass[T]) removeMarked(removed int) {
	for _, f := range c.flows {
		f.items = slices.DeleteFunc(f.items, func(i *Item[T]) bool { return i.removed })
	}
	c.decreaseLength(removed)
}

// decreaseLength subtracts removed items from the length. If the class is empty, a new busy period starts, in which the service
// of earlier periods doesn't count.
func (c *priorityClass[T]) decreaseLength(removed int) {
	c.length -= removed
	if c.length == 0 {
		clear(c.flows)
		c.virtualTime = 0
	}
}
