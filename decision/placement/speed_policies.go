package placement

import "math/rand/v2"

// Weights of the policies by the speed of endpoints. Memory and the time to the first event weigh as much as in the policies without
// speed. One more long run on an engine of 26,000 tokens costs 0.07, a queued prompt of 3,000 tokens about 0.4. The difference between
// an engine at 1.7 and one at 0.7 times the usual interval is 0.33, so that a fast engine runs a few more long requests than a slow
// one, and prompts that wait still turn the choice.
const (
	speedMemoryWeight     = 0.5
	speedFirstEventWeight = 2
	speedIntervalWeight   = 1.5
	speedBatchWeight      = 0.5
	speedAnswerWeight     = 2
	// speedBackupSlowWeight decides between engines with nearly the same free memory: an engine at 1.7 times the usual time scores 0.04
	// more than one at 0.7, as much as 1,100 free tokens of 26,800. It is small because the run continues there if its engine leaves.
	speedBackupSlowWeight = 0.2
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

// NewBackupSpeedPolicy returns the policy for copies of the memory of runs. A copy takes memory but no steps, so that it fits best on
// a slow engine with free memory.
func NewBackupSpeedPolicy(random *rand.Rand) *Policy {
	return &Policy{
		Filters: []Filter{AdmissibleFilter{}, ExcludeFilter{}, ExpectedMemoryFilter{}},
		Scorers: []WeightedScorer{
			{Scorer: ExpectedMemoryScorer{}, Weight: 1},
			{Scorer: SlownessScorer{}, Weight: speedBackupSlowWeight},
			{Scorer: ReliabilityScorer{}, Weight: reliabilityWeight},
		},
		Picker: MaxScorePicker{Random: random},
	}
}
