package rollout

import "math"

// likelihood holds the logarithms of the likelihood ratios of a fault against none, by period, for one fault share.
type likelihood []float64

// mixture returns the likelihood ratio of a fault whose beginning is not known: with one half from the beginning of the roll-out,
// with the other half from any of onsets periods, all equally likely. Onsets that lie in the future have the ratio 1.
func (l likelihood) mixture(onsets int) float64 {
	sum, later := 0.0, 0.0
	for i := len(l) - 1; i >= 0; i-- {
		sum += l[i]
		later += math.Exp(sum)
	}
	onsets = max(1, onsets)
	return (math.Exp(sum) + (later+float64(max(0, onsets-len(l))))/float64(max(onsets, len(l)))) / 2
}
