package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against retries that multiply the load while every request fails.
func TestTakeStaysBelowTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		now := start
		b := NewBudget(now)
		successes, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess()
				successes++
			} else if b.Take(now) {
				retries++
			}
		}
		allowed := 1 + retriesPerSuccess*float64(successes) + minRetriesPerSecond*now.Sub(start).Seconds()
		assert.Assert(t, float64(retries) <= allowed+1e-9, "%d retries, %f allowed", retries, allowed)
	})
}

// Guards against a budget that does not recover after an outage.
func TestTakeRecoversWithTime(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewBudget(now)
	assert.Assert(t, b.Take(now))
	assert.Assert(t, !b.Take(now))
	assert.Assert(t, b.Take(now.Add(time.Second)))
}
