package placement

// countedEvents is the number of events that count in the expected time of a long answer. The number of events of an answer is not
// known, only its tokens; 32 events take about a second, in which a caller notices a slow engine.
const countedEvents = 32

// ExpectedTime returns the time in seconds in which a request makes progress on a candidate: until its first event, and for a long
// answer the events after it. It leaves out the cost of crossing data centres.
func ExpectedTime(r *Request, c *Candidate) float64 {
	expected := promptTime(r, c)
	if r.OutputTokens > longOutputTokens {
		expected += countedEvents * c.EventInterval
	}
	return expected
}

// promptTime returns the time in seconds until the prompt of a request is computed on a candidate.
func promptTime(r *Request, c *Candidate) float64 {
	return max(0, float64(max(0, c.Prefill)+r.PromptTokens)-c.CachedTokens) * c.PromptTokenTime
}

// CrossingCost returns the cost in seconds of running a request outside the data centre of this node, or of copying a run outside the
// data centre of its source.
func CrossingCost(r *Request) float64 {
	if r.Copy {
		return copyTimePerToken * float64(r.PromptTokens+max(0, r.OutputTokens))
	}
	return crossingTime + crossingTimePerToken*float64(max(0, r.OutputTokens))
}
