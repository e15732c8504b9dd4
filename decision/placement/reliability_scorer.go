package placement

// ReliabilityScorer prefers the endpoints on which the smallest fraction of recent requests failed.
type ReliabilityScorer struct{}

// Score implements Scorer.
func (ReliabilityScorer) Score(_ *Request, c *Candidate) float64 { return 1 - c.Failures }
