package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a newly started engine that gets every new prompt because the scores hardly depend on the queue length.
func TestPromptQueueScorerDistinguishesLongQueues(t *testing.T) {
	s := PromptQueueScorer{}
	one, two, three := s.Score(nil, &Candidate{Prefill: 3000}), s.Score(nil, &Candidate{Prefill: 6000}), s.Score(nil, &Candidate{Prefill: 9000})
	assert.Assert(t, one-two > 0.2 && two-three > 0.2)
}
