package placement

// PrefillScorer prefers the endpoint that computes the fewest prompt tokens.
type PrefillScorer struct{}

// Score implements Scorer.
func (PrefillScorer) Score(_ *Request, c *Candidate) float64 {
	return maxPrefill / float64(maxPrefill+max(0, c.Prefill))
}
