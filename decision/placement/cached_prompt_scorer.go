package placement

// CachedPromptScorer prefers the endpoint that is expected to have most of the prompt cached. A token that is not computed counts as
// much as a queued one counts for PromptQueueScorer.
type CachedPromptScorer struct{}

// Score implements Scorer.
func (CachedPromptScorer) Score(_ *Request, c *Candidate) float64 {
	return min(1, c.CachedTokens/maxScoredPromptTokens)
}
