package placement

// ExpectedMemoryScorer prefers the endpoint with the largest fraction of free memory at the horizon of its peak usage.
type ExpectedMemoryScorer struct{}

// Score implements Scorer. An endpoint of unknown capacity scores one half.
func (ExpectedMemoryScorer) Score(r *Request, c *Candidate) float64 {
	if c.Capacity == 0 {
		return 0.5
	}
	return max(0, 1-(c.UntrackedMemory+c.Memory.PeakWith(&r.Memory))/c.Capacity)
}
