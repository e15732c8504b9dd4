package placement

// BatchScorer prefers the endpoint whose batch is the smallest fraction of its limit, because each request in a batch slows
// down the others.
type BatchScorer struct{}

// Score implements Scorer.
func (BatchScorer) Score(_ *Request, c *Candidate) float64 {
	return 1 - min(1, float64(c.InFlight)/float64(max(1, c.Limit)))
}
