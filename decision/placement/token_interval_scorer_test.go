package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a preference for an endpoint on which the batch size increases the time between tokens.
func TestTokenIntervalScorerPrefersFastSteps(t *testing.T) {
	fast, slow := &StepModel{}, &StepModel{}
	for n := 1; n < 10; n++ {
		fast.Observe(n, 10*time.Millisecond)
		slow.Observe(n, time.Duration(n)*10*time.Millisecond)
	}
	r := &Request{}
	s := TokenIntervalScorer{}
	assert.Assert(t, s.Score(r, &Candidate{StepModel: fast, InFlight: 9}) > s.Score(r, &Candidate{StepModel: slow, InFlight: 5}))
	assert.Equal(t, s.Score(r, &Candidate{}), 0.5)
}
