package placement

import "math/rand/v2"

// Names of the policies in the settings.
const (
	Azuredyke        = "azuredyke"
	LeastOutstanding = "least_outstanding"
	RoundRobin       = "round_robin"
)

// Weights of the scorers. Memory and the time between tokens count equally. A matching prefix saves prefill but no decode step.
// The requests in flight decide only between endpoints that report neither memory nor step times.
const (
	memoryWeight      = 1
	intervalWeight    = 1
	prefillWeight     = 0.5
	prefixWeight      = 0.5
	outstandingWeight = 0.25
)

// NewPolicy returns the policy with the given name, or Azuredyke for an unknown name. All policies apply the same filters for
// state, limit, excluded endpoints, model and requests that must run alone; only Azuredyke considers memory and prefill.
func NewPolicy(name string, random *rand.Rand, index *PrefixIndex) *Policy {
	p := &Policy{Filters: []Filter{AdmissibleFilter{}, ExcludeFilter{}, ModelFilter{}, AloneFilter{}}}
	switch name {
	case RoundRobin:
		p.Picker = &RoundRobinPicker{last: -1}
	case LeastOutstanding:
		p.Scorers = []WeightedScorer{{Scorer: LeastOutstandingScorer{}, Weight: 1}}
		p.Picker = MaxScorePicker{Random: random}
	default:
		p.Filters = append(p.Filters, PrefillFilter{}, ExpectedMemoryFilter{})
		p.Scorers = []WeightedScorer{
			{Scorer: ExpectedMemoryScorer{}, Weight: memoryWeight},
			{Scorer: TokenIntervalScorer{}, Weight: intervalWeight},
			{Scorer: PrefillScorer{}, Weight: prefillWeight},
			{Scorer: &PrefixAffinityScorer{Index: index}, Weight: prefixWeight},
			{Scorer: LeastOutstandingScorer{}, Weight: outstandingWeight},
		}
		p.Picker = MaxScorePicker{Random: random}
	}
	return p
}
