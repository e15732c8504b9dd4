package soak

import "math/rand/v2"

// weighted is one of several choices.
type weighted[T any] struct {
	value  T
	weight int
}

// pick draws one of the choices by their weights.
func pick[T any](random *rand.Rand, choices []weighted[T]) T {
	sum := 0
	for _, c := range choices {
		sum += c.weight
	}
	left := random.IntN(sum)
	for _, c := range choices {
		if left < c.weight {
			return c.value
		}
		left -= c.weight
	}
	// The weights add up to sum, so one of them was reached.
	panic("no choice was drawn")
}
