package overload

import "time"

const (
	// initialPrefillRate is half of the rate of an engine that only computes prompts, because an engine alternates chunks of
	// prompts with decode steps.
	initialPrefillRate = 7
	// minPrefillRate and maxPrefillRate bound the learnt rate, so that wrong load figures can neither block an engine nor lift the
	// limit on its backlog.
	minPrefillRate = 2
	maxPrefillRate = 20
	// initialPrefillTokens is the weight of the initial rate: that of about ten observed prompts.
	initialPrefillTokens = 30_000
	// prefillDecay is the weight of the earlier observations relative to a new one; 0.98 averages over about 50 prompts.
	prefillDecay = 0.98
	// minObservedTokens is the number of prompt tokens below which the time to the first event consists mainly of other delays.
	minObservedTokens = 500
)

// PrefillRate is the rate, in tokens per millisecond, at which engines of a service compute prompts, learnt from the first events
// of the node's own runs.
type PrefillRate struct {
	tokens, milliseconds float64
}

// NewPrefillRate returns the rate before any observation.
func NewPrefillRate() PrefillRate {
	return PrefillRate{tokens: initialPrefillTokens, milliseconds: initialPrefillTokens / initialPrefillRate}
}

// Observe records that the first event came after took, with the given number of prompt tokens to compute until then.
func (p *PrefillRate) Observe(tokens int, took time.Duration) {
	if tokens < minObservedTokens || took <= 0 {
		return
	}
	// A single observation is bounded as the result is: a run that waited for memory says little about the computation.
	ms := min(float64(tokens)/minPrefillRate, max(float64(tokens)/maxPrefillRate, float64(took)/float64(time.Millisecond)))
	p.tokens = p.tokens*prefillDecay + float64(tokens)
	p.milliseconds = p.milliseconds*prefillDecay + ms
}

// PerMillisecond returns the rate in tokens per millisecond.
func (p *PrefillRate) PerMillisecond() float64 {
	return min(maxPrefillRate, max(minPrefillRate, p.tokens/p.milliseconds))
}

// Time returns the time in which an engine computes prompt tokens.
func (p *PrefillRate) Time(tokens int) time.Duration {
	return time.Duration(float64(max(0, tokens)) / p.PerMillisecond() * float64(time.Millisecond))
}
