package placement

import "math/rand/v2"

// migrationMemoryWeight exceeds the sum of the other weights: a run whose memory has no place at its destination is lost.
const migrationMemoryWeight = 8

// NewMigrationPolicy returns the policy for runs that move to another engine: only engines on which the memory fits, and among them
// the one with the most free memory.
func NewMigrationPolicy(random *rand.Rand) *Policy {
	return &Policy{
		Filters: []Filter{AdmissibleFilter{}, ExcludeFilter{}, ExpectedMemoryFilter{}},
		Scorers: []WeightedScorer{
			{Scorer: ExpectedMemoryScorer{}, Weight: migrationMemoryWeight},
			{Scorer: PromptQueueScorer{}, Weight: sharedQueueWeight},
			{Scorer: BatchScorer{}, Weight: sharedBatchWeight},
			{Scorer: ReliabilityScorer{}, Weight: reliabilityWeight},
			{Scorer: NearbyScorer{}, Weight: nearbyWeight},
		},
		Picker: MaxScorePicker{Random: random},
	}
}
