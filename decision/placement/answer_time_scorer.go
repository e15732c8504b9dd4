package placement

const (
	// usualAnswerTime is the time of a plain call, in seconds, until it has been measured.
	usualAnswerTime = 0.020
	// plainCrossingTime is the cost, in seconds, of a plain call in another data centre: about a millisecond each way, and a price
	// of its few bytes that is set equal to 3 ms.
	plainCrossingTime = 0.005
)

// AnswerTimeScorer prefers the endpoint with the fewest requests in flight, weighted by the slowdown of the endpoint, and counts the
// cost of leaving the data centre of this node as time.
type AnswerTimeScorer struct{}

// Score implements Scorer. An idle endpoint of the usual speed in the data centre of this node scores one half.
func (AnswerTimeScorer) Score(_ *Request, c *Candidate) float64 {
	slowdown, usual := c.Slowdown, c.AnswerTime
	if slowdown <= 0 {
		slowdown = 1
	}
	if usual <= 0 {
		usual = usualAnswerTime
	}
	expected := float64(1+c.InFlight) * slowdown
	if !c.Nearby {
		expected += plainCrossingTime / usual
	}
	return 1 / (1 + expected)
}
