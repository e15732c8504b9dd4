package placement

// ReliabilityScorer prefers the endpoints that failed few of their recent requests.
type ReliabilityScorer struct{}

// Score implements Scorer.
func (ReliabilityScorer) Score(_ *Request, c *Candidate) float64 { return 1 - c.Failures }
