package placement

// PrefillScorer prefers the endpoint with the fewest prompt tokens being computed.
type PrefillScorer struct{}

// Score implements Scorer.
func (PrefillScorer) Score(_ *Request, c *Candidate) float64 {
	return maxPendingPrefill / float64(maxPendingPrefill+max(0, c.Prefill))
}
