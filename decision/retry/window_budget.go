package retry

import "time"

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 10

// WindowBudget limits the repeats of requests over a sliding window. A repeat is an arrival at an endpoint after the
// first of the same request.
type WindowBudget struct {
	requests, repeats [windowSlots + 1]float64
	// slot is the number of the newest slot, counted from the epoch of the clock.
	slot int64
	// window is the length of the sliding window.
	window time.Duration
}

// NewWindowBudget returns a budget for a sliding window of the given length.
func NewWindowBudget(window time.Duration) *WindowBudget { return &WindowBudget{window: window} }

// RecordRequest counts a new request.
func (b *WindowBudget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.slot%int64(len(b.requests))]++
}

// Take reports whether one more repeat is allowed, and charges it if so. Within a window, the repeats stay at or below
// ratio times the requests plus allowance.
func (b *WindowBudget) Take(now time.Time, ratio, allowance float64) bool {
	b.advance(now)
	if sum(b.repeats[:])+1 > ratio*sum(b.requests[:])+allowance {
		return false
	}
	b.RecordRepeat(now)
	return true
}

// RecordRepeat counts a repeat unconditionally.
func (b *WindowBudget) RecordRepeat(now time.Time) {
	b.advance(now)
	b.repeats[b.slot%int64(len(b.repeats))]++
}

// ReturnRepeat takes back a repeat that was counted and not sent.
func (b *WindowBudget) ReturnRepeat(now time.Time) {
	b.advance(now)
	slot := b.slot % int64(len(b.repeats))
	b.repeats[slot] = max(0, b.repeats[slot]-1)
}

// advance clears the slots that have left the window. One slot more than the window has is kept, so that repeats count
// for at least the whole window.
func (b *WindowBudget) advance(now time.Time) {
	slot := now.UnixNano() / (b.window.Nanoseconds() / windowSlots)
	for steps := 0; b.slot < slot; steps++ {
		if steps > len(b.requests) {
			b.slot = slot
			return
		}
		b.slot++
		b.requests[b.slot%int64(len(b.requests))] = 0
		b.repeats[b.slot%int64(len(b.repeats))] = 0
	}
}

func sum(slots []float64) float64 {
	total := 0.0
	for _, n := range slots {
		total += n
	}
	return total
}
