package limit

import "time"

// concurrencyRetryAfter is the advice when all concurrent requests are in use; nothing tells when one ends.
const concurrencyRetryAfter = time.Second

// Workspace tracks what one workspace uses on one node.
type Workspace struct {
	rates    Rates
	requests *Bucket
	tokens   *Bucket
	running  int
}

// NewWorkspace returns a workspace that has used nothing.
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

// Start admits or refuses a request; the prompt's tokens are charged at once.
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

// End records the end of a request and charges its output.
func (w *Workspace) End(now time.Time, outputTokens int) {
	w.running--
	w.tokens.Charge(now, float64(outputTokens))
}

// Running returns the number of requests that run.
func (w *Workspace) Running() int { return w.running }
