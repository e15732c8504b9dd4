package placement

// LeastOutstandingScorer prefers the endpoint with the fewest requests in flight.
type LeastOutstandingScorer struct{}

// Score implements Scorer.
func (LeastOutstandingScorer) Score(_ *Request, c *Candidate) float64 {
	return 1 / float64(1+c.InFlight)
}
