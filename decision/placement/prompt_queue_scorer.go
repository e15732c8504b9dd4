package placement

// promptQueue is the number of prompt tokens in front of a request at which its first token is late by far: about 1 s of
// an engine that computes 14 tokens in a millisecond.
const promptQueue = 14_000

// PromptQueueScorer prefers the endpoint on which the fewest prompt tokens are computed before the request's own. Unlike
// PrefillScorer it keeps telling endpoints apart when several prompts wait on each.
type PromptQueueScorer struct{}

// Score implements Scorer.
func (PromptQueueScorer) Score(_ *Request, c *Candidate) float64 {
	return 1 - min(1, float64(max(0, c.Prefill))/promptQueue)
}
