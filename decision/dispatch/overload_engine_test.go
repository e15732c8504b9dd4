package dispatch

import (
	"slices"
	"time"
)

// Properties of the engines of a simulation: those of deployment A.
const (
	overloadMemory   = 26_870
	overloadSlots    = 24
	prefillPerMs     = 14
	prefillChunk     = 112
	tokensPerEvent   = 4
	longestGap       = 180
	copyTokensPerMs  = 18 // 24,000 Mbit/s at 163,840 bytes per token
	migrationRetryMs = 120
)

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

func at(ms int) time.Time { return start.Add(milliseconds(ms)) }

// overloadEngine is a model of an engine: it computes chunks of prompts between decode steps, and holds requests whose prompts do not
// fit into its memory, in order of priority if it is told.
type overloadEngine struct {
	id              string
	leavesAt        int
	waiting, active []*overloadRun
	copies          int
	busyUntil       float64
	decodeNext      bool
	linkFree        int
}

func (e *overloadEngine) used() int {
	used := e.copies
	for _, r := range e.active {
		used += r.context
	}
	return used
}

func (e *overloadEngine) remove(r *overloadRun) {
	is := func(o *overloadRun) bool { return o == r }
	e.waiting, e.active = slices.DeleteFunc(e.waiting, is), slices.DeleteFunc(e.active, is)
}

// advance runs the steps that begin up to now and returns the runs that sent an event.
func (e *overloadEngine) advance(now int, ordered bool) (events []*overloadRun) {
	byPriority := func(a, b *overloadRun) int { return a.class.priority - b.class.priority }
	for e.busyUntil <= float64(now) {
		if ordered {
			slices.SortStableFunc(e.waiting, byPriority)
		}
		for len(e.waiting) > 0 && len(e.active) < overloadSlots && e.used()+e.waiting[0].prefill <= overloadMemory {
			r := e.waiting[0]
			r.context = r.prefill
			e.waiting, e.active = e.waiting[1:], append(e.active, r)
		}
		if ordered {
			slices.SortStableFunc(e.active, byPriority)
		}
		e.preempt()
		var computing *overloadRun
		decoding, context := 0, 0
		for _, r := range e.active {
			context += r.context
			if r.prefill == 0 {
				decoding++
			} else if computing == nil {
				computing = r
			}
		}
		begin := max(e.busyUntil, float64(now-1))
		switch {
		case computing != nil && (!e.decodeNext || decoding == 0):
			n := min(prefillChunk, computing.prefill)
			computing.prefill -= n
			e.busyUntil, e.decodeNext = begin+float64(n)/prefillPerMs, true
		case decoding > 0:
			e.busyUntil, e.decodeNext = begin+7+0.12*float64(decoding)+0.004*float64(context)/1000, false
			for _, r := range e.active {
				if r.prefill == 0 {
					r.context++
					r.output--
					if r.output%tokensPerEvent == 0 {
						events = append(events, r)
					}
				}
			}
			e.active = slices.DeleteFunc(e.active, func(r *overloadRun) bool { return r.output == 0 })
		default:
			e.busyUntil = float64(now) + 1
		}
	}
	return events
}

// preempt stops the last runs while the memory does not suffice. Their memory is computed again later.
func (e *overloadEngine) preempt() {
	for e.used() > overloadMemory && len(e.active) > 1 {
		last := len(e.active) - 1
		r := e.active[last]
		r.prefill = r.context
		e.active, e.waiting = e.active[:last], slices.Insert(e.waiting, 0, r)
	}
}
