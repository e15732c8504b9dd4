package placement

import "time"

// targetInterval is the target for the 95th percentile of the time between tokens (section 1.3 of the design page).
const targetInterval = 29 * time.Millisecond

// TokenIntervalScorer prefers the endpoint with the shortest predicted time between tokens, including the new request.
type TokenIntervalScorer struct{}

// Score implements Scorer. The target interval and an unknown interval both score one half.
func (TokenIntervalScorer) Score(_ *Request, c *Candidate) float64 {
	if c.StepModel == nil {
		return 0.5
	}
	predicted := c.StepModel.Predict(c.InFlight + 1)
	if predicted == 0 {
		return 0.5
	}
	return float64(targetInterval) / float64(targetInterval+predicted)
}
