package queue

import "time"

const (
	// classes is the number of priorities.
	classes = 10
	// patience is how far the predicted wait must exceed the time to the deadline before an item is refused, since the
	// prediction is rough.
	patience = 1.25
	// minRetryAfter and maxRetryAfter bound the advice of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Queue holds waiting items of type T. It is not safe for concurrent use; one task owns it.
type Queue[T any] struct {
	params   Params
	classes  [classes]class[T]
	byTicket map[uint64]*Item[T]
	sequence uint64
	rate     rateMeter
	// earliest is at most the earliest deadline, so that a look at the deadlines is rarely needed.
	earliest time.Time
}

// New returns an empty queue.
func New[T any](params Params) *Queue[T] {
	q := &Queue[T]{params: params, byTicket: map[uint64]*Item[T]{}}
	for i := range q.classes {
		q.classes[i].flows = map[string]*flow[T]{}
	}
	return q
}

// SetParams replaces the parameters. Items that wait beyond a lower bound stay.
func (q *Queue[T]) SetParams(params Params) { q.params = params }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.byTicket) }

// Has reports whether an item waits.
func (q *Queue[T]) Has(ticket uint64) bool {
	_, ok := q.byTicket[ticket]
	return ok
}

// Push adds an item, or refuses it when the queue is full or the item would wait past its deadline.
func (q *Queue[T]) Push(now time.Time, i Item[T]) *Refusal {
	i.class = min(max(i.Priority, 0), classes-1)
	wait, known := q.rate.wait(q.ahead(&i) + 1)
	if len(q.byTicket) >= q.params.Max {
		return &Refusal{Full: true, RetryAfter: clampRetry(wait)}
	}
	left := i.Deadline.Sub(now)
	if known && len(q.byTicket) > 0 && float64(wait) > patience*float64(left) {
		return &Refusal{RetryAfter: clampRetry(wait - left)}
	}
	q.rate.observe(now, 0, len(q.byTicket) > 0)
	q.sequence++
	i.arrived, i.sequence = now, q.sequence
	item := &i
	if len(q.byTicket) == 0 || i.Deadline.Before(q.earliest) {
		q.earliest = i.Deadline
	}
	q.byTicket[i.Ticket] = item
	q.classes[i.class].insert(now, item)
	return nil
}

// ahead returns how many items will start before a new one: all of higher classes, and of its own class those that its
// workspace has and as many of each other workspace.
func (q *Queue[T]) ahead(i *Item[T]) int {
	n := 0
	for c := i.class + 1; c < classes; c++ {
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

// Remove takes a waiting item out, and reports whether it was there.
func (q *Queue[T]) Remove(ticket uint64) bool {
	item, ok := q.byTicket[ticket]
	if ok {
		delete(q.byTicket, ticket)
		q.classes[item.class].remove(item)
	}
	return ok
}

// Scan calls try for the waiting items in the order of their turn, highest class first, until it returns Stop. Items that
// cannot start are skipped, so that they do not hold up others. Starved items move up first.
func (q *Queue[T]) Scan(now time.Time, try func(*Item[T]) Outcome) {
	q.age(now)
	waiting := len(q.byTicket) > 0
	started := 0
	for c := classes - 1; c >= 0; c-- {
		if q.classes[c].length == 0 {
			continue
		}
		through := q.classes[c].visit(now, func(i *Item[T]) Outcome {
			outcome := try(i)
			switch outcome {
			case Take:
				started++
				delete(q.byTicket, i.Ticket)
			case Drop:
				delete(q.byTicket, i.Ticket)
			}
			return outcome
		})
		if !through {
			break
		}
	}
	q.rate.observe(now, started, waiting)
}

// age moves the oldest item of each workspace that a class does not serve up to the next class. A workspace that is
// served, however slowly, stays in its class, so that a flood does not overtake others by being old.
func (q *Queue[T]) age(now time.Time) {
	for c := classes - 2; c >= 0; c-- {
		if q.classes[c].length == 0 {
			continue
		}
		for _, i := range q.classes[c].starved(now, q.params.ageStep()) {
			i.class = c + 1
			q.classes[c+1].insert(now, i)
		}
	}
}

// NextDeadline returns when Expired must be called next, which is the earliest deadline or sooner; the second result is
// false when the queue is empty.
func (q *Queue[T]) NextDeadline() (time.Time, bool) { return q.earliest, len(q.byTicket) > 0 }

// Expired removes and returns the items whose deadline has passed.
func (q *Queue[T]) Expired(now time.Time) []Item[T] {
	if len(q.byTicket) == 0 || now.Before(q.earliest) {
		return nil
	}
	var late []Item[T]
	var earliest time.Time
	for _, i := range q.byTicket {
		switch {
		case !now.Before(i.Deadline):
			late = append(late, *i)
		case earliest.IsZero() || i.Deadline.Before(earliest):
			earliest = i.Deadline
		}
	}
	q.earliest = earliest
	for _, i := range late {
		q.Remove(i.Ticket)
	}
	return late
}

// Each calls f for each waiting item in no particular order.
func (q *Queue[T]) Each(f func(*Item[T])) {
	for _, i := range q.byTicket {
		f(i)
	}
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
