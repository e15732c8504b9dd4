package placement

const (
	// halfScoreTime is the time to the first event, in seconds, that scores one half. At 14 tokens per millisecond, this scores
	// short queues like PromptQueueScorer.
	halfScoreTime = 1.0
	// crossingTime is the cost, in seconds, of a request in another data centre: about a millisecond each way, and a price of the
	// bytes of the request that is set equal to 8 ms, well below the time for one queued prompt (157 ms for 2,200 tokens).
	crossingTime = 0.010
	// crossingTimePerToken is the price of the bytes of each token of the answer. The bytes of an answer of 750 tokens weigh as
	// much as half of a queued prompt of 1,000 tokens.
	crossingTimePerToken = 0.00005
	// copyTimePerToken is the time for copying the memory of a token: 163,840 bytes over 24,000 Mbit/s. A copy to another data centre
	// takes twice as long.
	copyTimePerToken = 0.0000546
)

// FirstEventScorer prefers the endpoint with the earliest expected first event: the time for the prompt tokens that are queued
// there and those of the request that are not cached, and the cost of leaving the data centre of this node, or for a copy that of
// its source.
type FirstEventScorer struct{}

// Score implements Scorer.
func (FirstEventScorer) Score(r *Request, c *Candidate) float64 {
	expected := promptTime(r, c)
	if !c.Nearby {
		expected += CrossingCost(r)
	}
	return halfScoreTime / (halfScoreTime + expected)
}
