package placement

// NearbyScorer prefers the endpoints in the data centre of this node, since bytes between data centres cost.
type NearbyScorer struct{}

// Score implements Scorer.
func (NearbyScorer) Score(_ *Request, c *Candidate) float64 {
	if c.Nearby {
		return 1
	}
	return 0
}
