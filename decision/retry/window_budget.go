package retry

import "time"

// windowSlots is the number of parts into which a window is divided.
const windowSlots = 10

// WindowBudget bounds the arrivals at endpoints beyond the first of each request over a sliding window.
type WindowBudget struct {
	requests, extras [windowSlots + 1]float64
	// slot is the number of the newest part since the epoch of the clock.
	slot int64
	// Window is the length of the sliding window.
	window time.Duration
}

// NewWindowBudget returns a budget over a window.
func NewWindowBudget(window time.Duration) *WindowBudget { return &WindowBudget{window: window} }

// Requested counts a new request.
func (b *WindowBudget) Requested(now time.Time) {
	b.advance(now)
	b.requests[b.slot%int64(len(b.requests))]++
}

// Take reports whether one more arrival is allowed and charges it: within a window at most ratio times the requests plus
// allowance.
func (b *WindowBudget) Take(now time.Time, ratio, allowance float64) bool {
	b.advance(now)
	if sum(b.extras[:])+1 > ratio*sum(b.requests[:])+allowance {
		return false
	}
	b.Charge(now)
	return true
}

// Charge counts an arrival whatever the budget says.
func (b *WindowBudget) Charge(now time.Time) {
	b.advance(now)
	b.extras[b.slot%int64(len(b.extras))]++
}

// advance clears the parts that have left the window. The window is one part longer than stated, so that extras are
// remembered for at least the whole window.
func (b *WindowBudget) advance(now time.Time) {
	slot := now.UnixNano() / (b.window.Nanoseconds() / windowSlots)
	for steps := 0; b.slot < slot; steps++ {
		if steps > len(b.requests) {
			b.slot = slot
			return
		}
		b.slot++
		b.requests[b.slot%int64(len(b.requests))] = 0
		b.extras[b.slot%int64(len(b.extras))] = 0
	}
}

func sum(parts []float64) float64 {
	total := 0.0
	for _, p := range parts {
		total += p
	}
	return total
}
