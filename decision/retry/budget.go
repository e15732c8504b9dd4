package retry

import "time"

const (
	// retriesPerSuccess is the number of retries that each success adds to the budget.
	retriesPerSuccess = 0.1
	// minRetriesPerSecond is the number of retries that each second adds to the budget, with or without successes.
	minRetriesPerSecond = 1
	// maxTokens is the largest number of retries that a budget can accumulate.
	maxTokens = 10
)

// Budget limits the retries of one service and workspace to a tenth of the successes plus one per second.
type Budget struct {
	tokens  float64
	updated time.Time
}

// NewBudget returns a budget that allows one retry at once.
func NewBudget(now time.Time) *Budget {
	return &Budget{tokens: 1, updated: now}
}

// RecordSuccess records a success.
func (b *Budget) RecordSuccess() { b.add(retriesPerSuccess) }

// Take reports whether a retry is allowed, and charges it if so.
func (b *Budget) Take(now time.Time) bool {
	b.add(now.Sub(b.updated).Seconds() * minRetriesPerSecond)
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// IsRefilled reports whether enough time has passed since the last call of Take to refill the budget, so that the caller can
// drop it.
func (b *Budget) IsRefilled(now time.Time) bool {
	return now.Sub(b.updated).Seconds()*minRetriesPerSecond >= maxTokens
}

func (b *Budget) add(tokens float64) { b.tokens = min(maxTokens, b.tokens+tokens) }
