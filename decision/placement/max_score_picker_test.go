package placement

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a lower score being picked, and against all cells preferring the first of equal endpoints.
func TestMaxScorePickerBreaksTiesAtRandom(t *testing.T) {
	p := MaxScorePicker{Random: rand.New(rand.NewPCG(1, 2))}
	counts := map[int]int{}
	for range 3000 {
		counts[p.Pick([]Scored{{Score: 1}, {Score: 2}, {Score: 2}, {Score: 0}, {Score: 2}})]++
	}
	assert.Equal(t, len(counts), 3)
	for _, i := range []int{1, 2, 4} {
		assert.Assert(t, counts[i] > 800, "%v", counts)
	}
}
