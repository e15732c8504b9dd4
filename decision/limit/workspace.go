package limit

import "time"

// concurrencyRetryAfter is returned when the concurrency limit is reached, since the end of a running request cannot be
// predicted.
const concurrencyRetryAfter = time.Second

// Workspace tracks the usage of one workspace on one node.
type Workspace struct {
	rates    Rates
	requests *Bucket
	tokens   *Bucket
	running  int
}

// NewWorkspace returns a Workspace without usage.
func NewWorkspace(now time.Time, r Rates) *Workspace {
	return &Workspace{
		rates: r, requests: NewBucket(now, r.RequestsPerSecond), tokens: NewBucket(now, r.TokensPerSecond),
	}
}

// SetRates changes the limits from now on.
func (w *Workspace) SetRates(now time.Time, r Rates) {
	w.rates = r
	w.requests.SetRate(now, r.RequestsPerSecond)
	w.tokens.SetRate(now, r.TokensPerSecond)
}

// Start admits or refuses a request. An admitted request is charged for its prompt tokens at once.
func (w *Workspace) Start(now time.Time, promptTokens int) Decision {
	if w.rates.MaxConcurrency > 0 && w.running >= w.rates.MaxConcurrency {
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

// End records the end of an admitted request and charges its output tokens.
func (w *Workspace) End(now time.Time, outputTokens int) {
	w.running--
	w.tokens.Charge(now, float64(outputTokens))
}

// Running returns the number of running requests.
func (w *Workspace) Running() int { return w.running }
