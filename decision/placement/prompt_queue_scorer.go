package placement

// maxScoredPromptTokens is the number of queued prompt tokens from which the score is 0. It is about 1 s of work for an engine
// that computes 14 tokens per millisecond, which delays the first token far too long.
const maxScoredPromptTokens = 14_000

// PromptQueueScorer prefers the endpoint on which the fewest prompt tokens are computed before those of the request. Unlike
// PrefillScorer, it also distinguishes endpoints on which several prompts wait.
type PromptQueueScorer struct{}

// Score implements Scorer.
func (PromptQueueScorer) Score(_ *Request, c *Candidate) float64 {
	return 1 - min(1, float64(max(0, c.Prefill))/maxScoredPromptTokens)
}
