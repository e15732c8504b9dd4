package overload

import "time"

const (
	// shedFactor is the ratio of the expected wait to the longest permitted one from which a request is refused at once. The
	// expectation takes the engines to be full and the other requests to be of the same kind, so it may be too long by a factor.
	shedFactor = 2
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to come back.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Capacity is what the engines of a service can do together.
type Capacity struct {
	// Memory is the memory in tokens, Prefill the prompt tokens per millisecond.
	Memory, Prefill float64
}

// ExpectedWait returns the time until the requests of demand have started, if runs hold their memory for runTime: until the engines have
// computed the prompts, or until the runs on them have made room, whichever is longer.
func (c Capacity) ExpectedWait(demand MoreUrgent, runTime time.Duration) time.Duration {
	if c.Memory <= 0 || c.Prefill <= 0 {
		return 0
	}
	tokens := float64(demand.Long.Tokens + demand.Short.Tokens)
	prompts := float64(demand.Long.PromptTokens + demand.Short.PromptTokens)
	return max(time.Duration(tokens/c.Memory*float64(runTime)), time.Duration(prompts/c.Prefill*float64(time.Millisecond)))
}

// IsHopelessWait reports whether a request that may wait for left should be refused at once.
func IsHopelessWait(expected, left time.Duration) bool { return expected > shedFactor*left }

// RetryAfter returns the time after which a caller is told to come back, if its request would wait for expected.
func RetryAfter(expected time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, expected))
}
