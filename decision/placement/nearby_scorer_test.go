package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against traffic between data centres although an equal endpoint is in the data centre of the node.
func TestNearbyScorerPrefersTheOwnDataCentre(t *testing.T) {
	s := NearbyScorer{}
	assert.Assert(t, s.Score(nil, &Candidate{Nearby: true}) > s.Score(nil, &Candidate{}))
}
