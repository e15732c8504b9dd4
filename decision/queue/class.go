package queue

import (
	"container/heap"
	"slices"
	"time"
)

// maxIdleFlows bounds the workspaces without waiting items whose service is remembered.
const maxIdleFlows = 4096

// class is one priority class. Workspaces share it by start-time fair queueing: the one that was served least in
// proportion to its weight is next.
type class[T any] struct {
	flows map[string]*flow[T]
	// virtual is the virtual time at which the item served last started.
	virtual float64
	length  int
	scan    cursors[T]
}

// insert adds an item.
func (c *class[T]) insert(now time.Time, i *Item[T]) {
	f := c.flows[i.Workspace]
	if f == nil {
		if len(c.flows) >= maxIdleFlows+c.length {
			c.forgetIdle()
		}
		f = &flow[T]{}
		c.flows[i.Workspace] = f
	}
	if len(f.items) == 0 {
		// A workspace that was idle gets no credit for the time.
		f.served = max(f.served, c.virtual)
		f.since = now
	}
	f.insert(i)
	c.length++
}

// remove takes an item out.
func (c *class[T]) remove(i *Item[T]) {
	c.flows[i.Workspace].remove(i)
	c.shrink(1)
}

// charge notes that an item was served.
func (c *class[T]) charge(now time.Time, i *Item[T]) {
	f := c.flows[i.Workspace]
	f.since = now
	c.virtual = max(c.virtual, f.served)
	f.served += i.share()
}

// forgetIdle drops the idle workspaces that have no debt; if all have, it drops all idle ones.
func (c *class[T]) forgetIdle() {
	before := len(c.flows)
	for _, all := range []bool{false, true} {
		for name, f := range c.flows {
			if len(f.items) == 0 && (all || f.served <= c.virtual) {
				delete(c.flows, name)
			}
		}
		if len(c.flows) < before {
			return
		}
	}
}

// visit calls try for the items in the order of their turn until it returns Stop, and removes those that try takes or
// drops. It reports whether it went through.
func (c *class[T]) visit(now time.Time, try func(*Item[T]) Outcome) bool {
	c.scan = c.scan[:0]
	for _, f := range c.flows {
		if len(f.items) > 0 {
			c.scan = append(c.scan, cursor[T]{flow: f})
		}
	}
	heap.Init(&c.scan)
	removed := 0
	through := true
	for through && len(c.scan) > 0 {
		at := &c.scan[0]
		item := at.flow.items[at.next]
		switch try(item) {
		case Stop:
			through = false
		case Take:
			c.charge(now, item)
			item.gone = true
			removed++
		case Drop:
			item.gone = true
			removed++
		}
		at.next++
		if at.next == len(at.flow.items) {
			heap.Pop(&c.scan)
			continue
		}
		heap.Fix(&c.scan, 0)
	}
	if removed > 0 {
		c.compact(removed)
	}
	return through
}

// starved removes and returns the oldest item of each workspace that waited for a whole step without being served.
func (c *class[T]) starved(now time.Time, step time.Duration) []*Item[T] {
	var items []*Item[T]
	for _, f := range c.flows {
		if len(f.items) > 0 && now.Sub(f.since) >= step {
			items = append(items, f.items[0])
			f.since = now
		}
	}
	for _, i := range items {
		c.remove(i)
	}
	return items
}

// compact forgets the items that are gone.
func (c *class[T]) compact(removed int) {
	for _, f := range c.flows {
		f.items = slices.DeleteFunc(f.items, func(i *Item[T]) bool { return i.gone })
	}
	c.shrink(removed)
}

// shrink notes that items were removed. An empty class starts a new busy period, in which nobody has a debt.
func (c *class[T]) shrink(removed int) {
	c.length -= removed
	if c.length == 0 {
		clear(c.flows)
		c.virtual = 0
	}
}
