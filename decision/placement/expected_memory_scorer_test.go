package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a preference for the endpoint with fewer requests although these will need more memory.
func TestExpectedMemoryScorerPrefersMoreFreeMemoryAtPeak(t *testing.T) {
	lengths := NewLengthTable(nil)
	long, short := NewForecast(lengths, 5000, 0, 0, 16), NewForecast(lengths, 100, 0, 50, 16)
	one, two := &Candidate{Capacity: 20_000}, &Candidate{Capacity: 20_000}
	one.Memory.Add(&long)
	two.Memory.Add(&short)
	two.Memory.Add(&short)
	r := &Request{}
	assert.Assert(t, ExpectedMemoryScorer{}.Score(r, two) > ExpectedMemoryScorer{}.Score(r, one))
	assert.Equal(t, ExpectedMemoryScorer{}.Score(r, &Candidate{}), 0.5)
}
