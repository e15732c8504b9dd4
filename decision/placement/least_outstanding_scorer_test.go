package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a baseline that does not prefer the endpoint with the fewest requests.
func TestLeastOutstandingScorer(t *testing.T) {
	s := LeastOutstandingScorer{}
	assert.Assert(t, s.Score(nil, &Candidate{InFlight: 1}) > s.Score(nil, &Candidate{InFlight: 2}))
}
