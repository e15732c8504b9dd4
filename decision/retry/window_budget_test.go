package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a window with more repeats than the operators allow.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	const window, ratio, allowance = 10 * time.Second, 0.2, 3.0
	b := NewWindowBudget(window)
	start := time.Unix(1000, 0)
	var requests, extras []time.Time
	for i := range 6000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if i%20 == 0 {
			b.RecordRequest(now)
			requests = append(requests, now)
		}
		if b.Take(now, ratio, allowance) {
			extras = append(extras, now)
		}
	}
	for _, end := range extras {
		taken := countIn(extras, end, window)
		// The extra slot may count older requests, but never leaves out repeats of the window.
		assert.Assert(t, float64(taken) <= ratio*float64(countIn(requests, end, window+window/windowSlots))+allowance)
	}
}

func countIn(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < window {
			n++
		}
	}
	return n
}
