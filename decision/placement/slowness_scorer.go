package placement

// SlownessScorer prefers slow endpoints, for copies that need no computation.
type SlownessScorer struct{}

// Score implements Scorer. The usual and an unknown slowdown score one half.
func (SlownessScorer) Score(_ *Request, c *Candidate) float64 {
	if c.Slowdown <= 0 {
		return 0.5
	}
	return c.Slowdown / (1 + c.Slowdown)
}
