package rollout

import "math"

// likelihood holds the logarithms of the likelihood ratios of a fault against none, by period, for one fault share.
type likelihood []float64

// mixture returns the likelihood ratio of a fault whose beginning is not known: from the beginning of the roll-out, from the beginning
// of promoting, when all endpoints get their full load, or from any of onsets periods, all equally likely. Each has a third of the
// weight. Onsets that lie in the future have the ratio 1. promoted is the first period of promoting, len(l) if there is none.
func (l likelihood) mixture(onsets, promoted int) float64 {
	sum, later, sincePromoted := 0.0, 0.0, 1.0
	for i := len(l) - 1; i >= 0; i-- {
		sum += l[i]
		later += math.Exp(sum)
		if i == promoted {
			sincePromoted = math.Exp(sum)
		}
	}
	onsets = max(1, onsets, len(l))
	anyOnset := (later + float64(onsets-len(l))) / float64(onsets)
	return (math.Exp(sum) + sincePromoted + anyOnset) / 3
}

// past returns the likelihood ratio of a fault that began at the beginning of the roll-out, or in any period so far.
func (l likelihood) past() float64 {
	sum, later := 0.0, 0.0
	for i := len(l) - 1; i >= 0; i-- {
		sum += l[i]
		later += math.Exp(sum)
	}
	return (math.Exp(sum) + later/float64(max(1, len(l)))) / 2
}
