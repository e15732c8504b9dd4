package placement

import "math/rand/v2"

// Weights of the policies by the speed of endpoints. The time to the first event weighs as much as in the policies without speed.
// One more long run on an engine of 26,000 tokens costs 0.15 of the memory score. The difference between an engine at 1.7 and one
// at 0.7 times the usual interval costs 0.33, so that a fast engine runs about two more long requests than a slow one, and prompts
// that wait or memory that is short still turn the choice.
const (
	speedMemoryWeight     = 1
	speedFirstEventWeight = 2
	speedIntervalWeight   = 1.5
	speedBatchWeight      = 0.5
	speedAnswerWeight     = 2
)

// NewEngineSpeedPolicy returns the policy for model engines that several nodes use at the same time and whose speed is measured. If
// strict is set, it rejects the engines on which the expected memory does not fit.
func NewEngineSpeedPolicy(random *rand.Rand, strict bool) *Policy {
	p := &Policy{
		Filters: []Filter{AdmissibleFilter{}, ExcludeFilter{}},
		Scorers: []WeightedScorer{
			{Scorer: ExpectedMemoryScorer{}, Weight: speedMemoryWeight},
			{Scorer: FirstEventScorer{}, Weight: speedFirstEventWeight},
			{Scorer: EventIntervalScorer{}, Weight: speedIntervalWeight},
			{Scorer: BatchScorer{}, Weight: speedBatchWeight},
			{Scorer: ReliabilityScorer{}, Weight: reliabilityWeight},
		},
		Picker: MaxScorePicker{Random: random},
	}
	if strict {
		p.Filters = append(p.Filters, ExpectedMemoryFilter{})
	}
	return p
}

// NewPlainSpeedPolicy returns the policy for plain services that several nodes use at the same time and whose speed is measured.
func NewPlainSpeedPolicy(random *rand.Rand) *Policy {
	return &Policy{
		Filters: []Filter{AdmissibleFilter{}, ExcludeFilter{}},
		Scorers: []WeightedScorer{
			{Scorer: AnswerTimeScorer{}, Weight: speedAnswerWeight},
			{Scorer: ReliabilityScorer{}, Weight: reliabilityWeight},
		},
		Picker: MaxScorePicker{Random: random},
	}
}
