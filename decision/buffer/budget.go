package buffer

const (
	// Floor is the number of bytes that each stream gets as long as the sum allows. Streams had as much before they shared a
	// budget.
	Floor = 32 << 10
	// reserveDivisor divides the budget: a quarter is kept for streams below Floor. Otherwise a few callers that read nothing
	// would take everything, and nothing comes back before they are given up.
	reserveDivisor = 4
)

// Budget divides a number of bytes among the streams of a node. The sum of the grants never exceeds it. The streams with the
// smallest shares are served first; when bytes are short, the stream with the largest share is told to give back first.
type Budget struct {
	total, granted int64
	shares         map[uint64]*share
}

// NewBudget returns a budget of total bytes.
func NewBudget(total int64) *Budget { return &Budget{total: total, shares: map[uint64]*share{}} }

// Report notes that a stream keeps at most keep of its granted bytes and wants a grant of want bytes. It returns the limits that
// change. A stream that reports zero for both has ended.
func (b *Budget) Report(stream uint64, keep, want int64) []Grant {
	s := b.shares[stream]
	if s == nil {
		s = &share{}
		b.shares[stream] = s
	}
	keep = min(max(keep, 0), s.granted)
	b.granted += keep - s.granted
	s.granted, s.wanted, s.limit = keep, want, min(s.limit, keep)
	if keep == 0 && want <= 0 {
		delete(b.shares, stream)
	}
	return append(b.serve(), b.reduce()...)
}

// serve grants what fits, to the smallest waiting stream first.
func (b *Budget) serve() []Grant {
	var grants []Grant
	for {
		id, s := b.smallestWaiting()
		if s == nil || s.wanted-s.granted > b.room(s.wanted) {
			return grants
		}
		b.granted += s.wanted - s.granted
		s.granted, s.limit = s.wanted, s.wanted
		grants = append(grants, Grant{Stream: id, Bytes: s.limit})
	}
}

// reduce tells the largest streams to give back what the smallest waiting stream lacks. No stream is told to go below Floor or
// below what the waiting stream wants.
func (b *Budget) reduce() []Grant {
	_, waiting := b.smallestWaiting()
	if waiting == nil {
		return nil
	}
	missing := waiting.wanted - waiting.granted - b.room(waiting.wanted)
	for _, s := range b.shares {
		missing -= s.granted - s.limit
	}
	least := max(Floor, waiting.wanted)
	var grants []Grant
	for missing > 0 {
		id, s := b.largest()
		cut := min(missing, s.limit-least)
		if cut <= 0 {
			break
		}
		s.limit -= cut
		missing -= cut
		grants = append(grants, Grant{Stream: id, Bytes: s.limit})
	}
	return grants
}

// room returns the bytes that are left for a grant of the given size.
func (b *Budget) room(size int64) int64 {
	if size > Floor {
		return b.total - b.total/reserveDivisor - b.granted
	}
	return b.total - b.granted
}

// smallestWaiting returns the waiting stream that wants the least; nil if none waits.
func (b *Budget) smallestWaiting() (uint64, *share) {
	var first uint64
	var smallest *share
	for id, s := range b.shares {
		if s.waits() && (smallest == nil || s.wanted < smallest.wanted || s.wanted == smallest.wanted && id < first) {
			first, smallest = id, s
		}
	}
	return first, smallest
}

// largest returns the stream with the highest limit.
func (b *Budget) largest() (uint64, *share) {
	var first uint64
	var largest *share
	for id, s := range b.shares {
		if largest == nil || s.limit > largest.limit || s.limit == largest.limit && id < first {
			first, largest = id, s
		}
	}
	return first, largest
}

// Granted returns the sum of the grants.
func (b *Budget) Granted() int64 { return b.granted }

// OverFloor returns the number of streams with a grant above Floor.
func (b *Budget) OverFloor() int {
	count := 0
	for _, s := range b.shares {
		if s.granted > Floor {
			count++
		}
	}
	return count
}
