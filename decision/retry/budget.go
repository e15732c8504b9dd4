package retry

import "time"

const (
	// shareOfSuccesses is the number of retries that each success allows.
	shareOfSuccesses = 0.1
	// minimumPerSecond is the number of retries a second that are allowed without any success.
	minimumPerSecond = 1
	// maxTokens bounds the retries that can be saved up.
	maxTokens = 10
)

// Budget bounds the retries of one service and workspace: a tenth of the successes, and at least one a second.
type Budget struct {
	tokens  float64
	updated time.Time
}

// NewBudget returns a budget with room for one retry.
func NewBudget(now time.Time) *Budget {
	return &Budget{tokens: 1, updated: now}
}

// Succeeded records a success.
func (b *Budget) Succeeded() { b.add(shareOfSuccesses) }

// Take reports whether a retry is allowed, and charges it.
func (b *Budget) Take(now time.Time) bool {
	b.add(now.Sub(b.updated).Seconds() * minimumPerSecond)
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Idle reports whether the budget is as good as new, so that it need not be kept.
func (b *Budget) Idle(now time.Time) bool {
	return now.Sub(b.updated).Seconds()*minimumPerSecond >= maxTokens
}

func (b *Budget) add(tokens float64) { b.tokens = min(maxTokens, b.tokens+tokens) }
