package placement

// BatchScorer prefers the endpoint whose batch is the smallest part of its limit, since each request in a batch slows all.
type BatchScorer struct{}

// Score implements Scorer.
func (BatchScorer) Score(_ *Request, c *Candidate) float64 {
	return 1 - min(1, float64(c.InFlight)/float64(max(1, c.Limit)))
}
