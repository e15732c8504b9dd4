package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a workspace that exceeds its request rate or its concurrency limit.
func TestStartKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			RequestsPerSecond: float64(rapid.IntRange(1, 20).Draw(t, "rate")),
			MaxConcurrency:    rapid.IntRange(1, 5).Draw(t, "concurrency"),
		}
		start := time.Unix(0, 0)
		now := start
		w := NewWorkspaceUsage(now, limits)
		admitted := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if w.Running() > 0 && rapid.Bool().Draw(t, "end") {
				w.Release(now, 0)
			}
			if w.Admit(now, 1).Admitted {
				admitted++
			}
			assert.Assert(t, w.Running() <= limits.MaxConcurrency)
		}
		allowed := NewBucket(start, limits.RequestsPerSecond).capacity() + limits.RequestsPerSecond*now.Sub(start).Seconds()
		assert.Assert(t, float64(admitted) <= allowed+1)
	})
}

// Guards against output tokens that are not charged: their number is known only at the end, and they must delay later
// requests.
func TestOutputTokensAreChargedAfterwards(t *testing.T) {
	now := time.Unix(0, 0)
	w := NewWorkspaceUsage(now, Limits{TokensPerSecond: 100})
	assert.Assert(t, w.Admit(now, 10).Admitted)
	w.Release(now, 1000)
	refused := w.Admit(now, 10)
	assert.Assert(t, !refused.Admitted)
	assert.Equal(t, refused.Limit, "tokens_per_second")
	assert.Assert(t, w.Admit(now.Add(refused.RetryAfter), 10).Admitted)
}
