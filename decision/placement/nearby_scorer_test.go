package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against traffic between data centres while an endpoint nearby is as good.
func TestNearbyScorerPrefersTheOwnDataCentre(t *testing.T) {
	s := NearbyScorer{}
	assert.Assert(t, s.Score(nil, &Candidate{Nearby: true}) > s.Score(nil, &Candidate{}))
}
