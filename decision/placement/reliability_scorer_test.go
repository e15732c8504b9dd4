package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests on an endpoint that fails them although its health check succeeds.
func TestReliabilityScorerPrefersFewFailures(t *testing.T) {
	s := ReliabilityScorer{}
	assert.Assert(t, s.Score(nil, &Candidate{Failures: 0.1}) > s.Score(nil, &Candidate{Failures: 0.5}))
}
