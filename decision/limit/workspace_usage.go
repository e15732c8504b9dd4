package limit

import "time"

// concurrencyRetryAfter is returned when the concurrency limit is reached, since the end of a running request cannot be
// predicted.
const concurrencyRetryAfter = time.Second

// WorkspaceUsage tracks the usage of one workspace on one node.
type WorkspaceUsage struct {
	limits   Limits
	requests *Bucket
	tokens   *Bucket
	running  int
}

// NewWorkspaceUsage returns a WorkspaceUsage without running requests.
func NewWorkspaceUsage(now time.Time, l Limits) *WorkspaceUsage {
	return &WorkspaceUsage{
		limits: l, requests: NewBucket(now, l.RequestsPerSecond), tokens: NewBucket(now, l.TokensPerSecond),
	}
}

// SetLimits changes the limits from now on.
func (w *WorkspaceUsage) SetLimits(now time.Time, l Limits) {
	w.limits = l
	w.requests.SetRate(now, l.RequestsPerSecond)
	w.tokens.SetRate(now, l.TokensPerSecond)
}

// Admit admits or refuses a request. An admitted request is charged for its prompt tokens at once.
func (w *WorkspaceUsage) Admit(now time.Time, promptTokens int) Decision {
	if w.limits.MaxConcurrency > 0 && w.running >= w.limits.MaxConcurrency {
		return Decision{Limit: "max_concurrency", RetryAfter: concurrencyRetryAfter}
	}
	if ok, wait := w.tokens.Take(now, float64(promptTokens)); !ok {
		return Decision{Limit: "tokens_per_second", RetryAfter: wait}
	}
	if ok, wait := w.requests.Take(now, 1); !ok {
		w.tokens.Charge(now, -float64(promptTokens))
		return Decision{Limit: "requests_per_second", RetryAfter: wait}
	}
	w.running++
	return Decision{Admitted: true}
}

// Release records the end of an admitted request and charges its output tokens.
func (w *WorkspaceUsage) Release(now time.Time, outputTokens int) {
	w.running--
	w.tokens.Charge(now, float64(outputTokens))
}

// Running returns the number of running requests.
func (w *WorkspaceUsage) Running() int { return w.running }
