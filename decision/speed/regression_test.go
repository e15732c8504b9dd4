package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// Guards against a batch or a prompt that is taken for a slow endpoint because its influence is not recognized.
func TestRegressionFindsBothInfluences(t *testing.T) {
	var r Regression
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 200 {
		n, q := float64(random.IntN(20)), random.Float64()
		r.Observe(start.Add(time.Duration(i)*100*time.Millisecond), n, q, (0.028+0.0005*n+0.032*q)*(0.9+0.2*random.Float64()))
	}
	for _, x := range [][2]float64{{1, 0}, {20, 0}, {5, 1}} {
		want := 0.028 + 0.0005*x[0] + 0.032*x[1]
		assert.Assert(t, math.Abs(r.Predict(x[0], x[1])/want-1) < 0.1, "%v: %v", x, r.Predict(x[0], x[1]))
	}
}

// Guards against predictions from one measurement, negative ones, and ones that are shorter for more work.
func TestRegressionWithFewOrContradictoryTimesStaysPlausible(t *testing.T) {
	var r Regression
	r.Observe(start, 1, 0, math.NaN())
	r.Observe(start, 1, 0, 2)
	assert.Equal(t, r.Predict(1, 0), 0.0)
	r.Observe(start, 2, 1, 1)
	r.Observe(start, 3, 1, 0.5)
	assert.Assert(t, r.Predict(9, 1) >= r.Predict(1, 0) && r.Predict(100, 0) > 0 && r.Predict(0, 0) > 0)
}
