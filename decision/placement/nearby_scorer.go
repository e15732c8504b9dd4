package placement

// NearbyScorer prefers the endpoints in the data centre of this node, because traffic between data centres is expensive.
type NearbyScorer struct{}

// Score implements Scorer.
func (NearbyScorer) Score(_ *Request, c *Candidate) float64 {
	if c.Nearby {
		return 1
	}
	return 0
}
