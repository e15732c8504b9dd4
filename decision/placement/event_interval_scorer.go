package placement

// longOutputTokens is the expected length of an answer above which the time between its events counts. Shorter answers end before a
// slow engine makes a difference of more than some hundred milliseconds.
const longOutputTokens = 64

// EventIntervalScorer prefers, for long answers, the endpoint with the shortest expected time between events.
type EventIntervalScorer struct{}

// Score implements Scorer. The usual interval, an unknown one and all endpoints for a short answer score one half.
func (EventIntervalScorer) Score(r *Request, c *Candidate) float64 {
	if r.OutputTokens <= longOutputTokens || c.EventInterval <= 0 || c.UsualInterval <= 0 {
		return 0.5
	}
	return c.UsualInterval / (c.UsualInterval + c.EventInterval)
}
