package placement

import "math/rand/v2"

// MaxScorePicker picks the candidate with the highest score, at random among equal ones.
type MaxScorePicker struct {
	Random *rand.Rand
}

// Pick implements Picker.
func (p MaxScorePicker) Pick(scored []Scored) int {
	best, equal := 0, 1
	for i := 1; i < len(scored); i++ {
		switch {
		case scored[i].Score > scored[best].Score:
			best, equal = i, 1
		case scored[i].Score == scored[best].Score:
			equal++
			if p.Random.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}
