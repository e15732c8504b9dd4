package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against work for an endpoint that fails requests while its health check is good.
func TestReliabilityScorerPrefersFewFailures(t *testing.T) {
	s := ReliabilityScorer{}
	assert.Assert(t, s.Score(nil, &Candidate{Failures: 0.1}) > s.Score(nil, &Candidate{Failures: 0.5}))
}
