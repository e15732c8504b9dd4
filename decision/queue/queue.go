package queue

import "time"

const (
	// classCount is the number of priority classes.
	classCount = 10
	// refusalMargin is the ratio of the predicted wait to the time until the deadline above which an item is refused. It is above
	// 1 because the prediction is rough.
	refusalMargin = 1.25
	// minRetryAfter and maxRetryAfter bound RetryAfter of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Queue holds waiting items with values of type T. It is not safe for concurrent use; one task owns it.
type Queue[T any] struct {
	params   Params
	classes  [classCount]priorityClass[T]
	byTicket map[uint64]*Item[T]
	sequence uint64
	rate     rateMeter
	// earliestDeadline is a lower bound of all deadlines, so that RemoveExpired rarely needs to check every item.
	earliestDeadline time.Time
}

// New returns an empty queue.
func New[T any](params Params) *Queue[T] {
	q := &Queue[T]{params: params, byTicket: map[uint64]*Item[T]{}}
	for i := range q.classes {
		q.classes[i].flows = map[string]*flow[T]{}
	}
	return q
}

// SetParams replaces the parameters. If Max is now below the number of waiting items, these remain waiting.
func (q *Queue[T]) SetParams(params Params) { q.params = params }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.byTicket) }

// Has reports whether an item with this ticket is waiting.
func (q *Queue[T]) Has(ticket uint64) bool {
	_, ok := q.byTicket[ticket]
	return ok
}

// Push adds an item, or returns a refusal if the queue is full or the item is predicted to wait past its deadline.
func (q *Queue[T]) Push(now time.Time, i Item[T]) *Refusal {
	i.class = min(max(i.Priority, 0), classCount-1)
	wait, known := q.rate.predictWait(q.itemsAhead(&i) + 1)
	if len(q.byTicket) >= q.params.Max {
		return &Refusal{Full: true, RetryAfter: clampRetryAfter(wait)}
	}
	remaining := i.Deadline.Sub(now)
	if known && len(q.byTicket) > 0 && float64(wait) > refusalMargin*float64(remaining) {
		return &Refusal{RetryAfter: clampRetryAfter(wait - remaining)}
	}
	q.rate.observe(now, 0, len(q.byTicket) > 0)
	q.sequence++
	i.arrived, i.sequence = now, q.sequence
	item := &i
	if len(q.byTicket) == 0 || i.Deadline.Before(q.earliestDeadline) {
		q.earliestDeadline = i.Deadline
	}
	q.byTicket[i.Ticket] = item
	q.classes[i.class].insert(now, item)
	return nil
}

// itemsAhead returns the estimated number of items that will start before a new one: all items of higher classes, the items of
// its workspace in its class, and from each other workspace in its class at most one more than that.
func (q *Queue[T]) itemsAhead(i *Item[T]) int {
	n := 0
	for c := i.class + 1; c < classCount; c++ {
		n += q.classes[c].length
	}
	own := 0
	if f := q.classes[i.class].flows[i.Workspace]; f != nil {
		own = len(f.items)
	}
	for name, f := range q.classes[i.class].flows {
		if name == i.Workspace {
			n += own
			continue
		}
		n += min(len(f.items), own+1)
	}
	return n
}

// Remove removes a waiting item and reports whether it was in the queue.
func (q *Queue[T]) Remove(ticket uint64) bool {
	item, ok := q.byTicket[ticket]
	if ok {
		delete(q.byTicket, ticket)
		q.classes[item.class].remove(item)
	}
	return ok
}

// Scan promotes starved items, then calls try for the waiting items in the order of service, highest class first, until it
// returns Stop. Items for which try returns Skip remain waiting and don't block the others.
func (q *Queue[T]) Scan(now time.Time, try func(*Item[T]) ScanAction) {
	q.promoteStarved(now)
	waiting := len(q.byTicket) > 0
	started := 0
	for c := classCount - 1; c >= 0; c-- {
		if q.classes[c].length == 0 {
			continue
		}
		completed := q.classes[c].scan(now, func(i *Item[T]) ScanAction {
			action := try(i)
			switch action {
			case Take:
				started++
				delete(q.byTicket, i.Ticket)
			case Drop:
				delete(q.byTicket, i.Ticket)
			}
			return action
		})
		if !completed {
			break
		}
	}
	q.rate.observe(now, started, waiting)
}

// promoteStarved moves the oldest item of each workspace that a class has not served for the promotion interval to the
// next higher class. A workspace that is served, even slowly, remains in its class, so that a workspace with many waiting
// items doesn't overtake others because of their age.
func (q *Queue[T]) promoteStarved(now time.Time) {
	for c := classCount - 2; c >= 0; c-- {
		if q.classes[c].length == 0 {
			continue
		}
		for _, i := range q.classes[c].removeStarved(now, q.params.effectivePromotionInterval()) {
			i.class = c + 1
			q.classes[c+1].insert(now, i)
		}
	}
}

// NextDeadline returns the time at which RemoveExpired must be called next, which is not after the earliest deadline. The
// second result is false if the queue is empty.
func (q *Queue[T]) NextDeadline() (time.Time, bool) { return q.earliestDeadline, len(q.byTicket) > 0 }

// RemoveExpired removes and returns the items whose deadline has passed.
func (q *Queue[T]) RemoveExpired(now time.Time) []Item[T] {
	if len(q.byTicket) == 0 || now.Before(q.earliestDeadline) {
		return nil
	}
	var expired []Item[T]
	var earliest time.Time
	for _, i := range q.byTicket {
		switch {
		case !now.Before(i.Deadline):
			expired = append(expired, *i)
		case earliest.IsZero() || i.Deadline.Before(earliest):
			earliest = i.Deadline
		}
	}
	q.earliestDeadline = earliest
	for _, i := range expired {
		q.Remove(i.Ticket)
	}
	return expired
}

// Each calls f for each waiting item in no particular order.
func (q *Queue[T]) Each(f func(*Item[T])) {
	for _, i := range q.byTicket {
		f(i)
	}
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
