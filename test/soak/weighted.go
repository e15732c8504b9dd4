package soak

import "math/rand/v2"

// weighted is a value with the relative frequency at which pick draws it.
type weighted[T any] struct {
	value  T
	weight int
}

// pick draws one of the choices with a probability proportional to its weight.
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
	// Unreachable: left is below the sum of the weights.
	panic("pick: no choice drawn although left is below the sum of the weights")
}
