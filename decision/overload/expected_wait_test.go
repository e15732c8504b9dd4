package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are held although so many wait that theirs can't be in time, and against refusals while it may be.
func TestHopelessRequestsAreShed(t *testing.T) {
	c := Capacity{Memory: 29 * 26_870, Prefill: 29 * 7}
	var demand MoreUrgent
	for range 200 {
		demand.Add(WaitingClass{Long: true, Demand: Demand{Requests: 1, Tokens: 3530, PromptTokens: 3079}})
	}
	expected := c.ExpectedWait(demand, 11*time.Second)
	assert.Equal(t, expected.Round(100*time.Millisecond), 10*time.Second)
	assert.Assert(t, !IsHopelessWait(expected, 6*time.Second))
	assert.Assert(t, IsHopelessWait(expected, 4*time.Second))
	// Short runs wait for the prompts.
	assert.Equal(t, c.ExpectedWait(demand, 100*time.Millisecond).Round(100*time.Millisecond), 3*time.Second)
	assert.Equal(t, Capacity{}.ExpectedWait(demand, time.Second), time.Duration(0))
	assert.Equal(t, RetryAfter(time.Hour), maxRetryAfter)
	assert.Equal(t, RetryAfter(0), minRetryAfter)
}
