package placement

import "math/rand/v2"

// Weights of the policies for endpoints that several nodes share. Reliability weighs at least as much as any single measure of
// load; the data centre decides only between nearly equal endpoints.
const (
	reliabilityWeight  = 2
	sharedMemoryWeight = 0.5
	sharedQueueWeight  = 2
	sharedBatchWeight  = 1
	nearbyWeight       = 0.1
)

// NewSharedEnginePolicy returns the policy for model engines that several nodes use at the same time. If strict is set, it
// rejects the engines on which the expected memory does not fit.
func NewSharedEnginePolicy(random *rand.Rand, strict bool) *Policy {
	p := &Policy{
		Filters: []Filter{AdmissibleFilter{}, ExcludeFilter{}},
		Scorers: []WeightedScorer{
			{Scorer: ExpectedMemoryScorer{}, Weight: sharedMemoryWeight},
			{Scorer: PromptQueueScorer{}, Weight: sharedQueueWeight},
			{Scorer: CachedPromptScorer{}, Weight: sharedQueueWeight},
			{Scorer: BatchScorer{}, Weight: sharedBatchWeight},
			{Scorer: ReliabilityScorer{}, Weight: reliabilityWeight},
			{Scorer: NearbyScorer{}, Weight: nearbyWeight},
		},
		Picker: MaxScorePicker{Random: random},
	}
	if strict {
		p.Filters = append(p.Filters, ExpectedMemoryFilter{})
	}
	return p
}

// NewSharedPlainPolicy returns the policy for plain services that several nodes use at the same time.
func NewSharedPlainPolicy(random *rand.Rand) *Policy {
	return &Policy{
		Filters: []Filter{AdmissibleFilter{}, ExcludeFilter{}},
		Scorers: []WeightedScorer{
			{Scorer: LeastOutstandingScorer{}, Weight: 1},
			{Scorer: ReliabilityScorer{}, Weight: reliabilityWeight},
			{Scorer: NearbyScorer{}, Weight: nearbyWeight},
		},
		Picker: MaxScorePicker{Random: random},
	}
}
