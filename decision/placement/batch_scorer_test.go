package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against batches of very different size on engines of one service.
func TestBatchScorerPrefersTheSmallerBatch(t *testing.T) {
	s := BatchScorer{}
	assert.Assert(t, s.Score(nil, &Candidate{InFlight: 3, Limit: 24}) > s.Score(nil, &Candidate{InFlight: 4, Limit: 24}))
}
