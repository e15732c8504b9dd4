package rollout

import (
	"math/rand/v2"
	"time"
)

// testFault is the fault of a bad version.
type testFault struct {
	// failures is the share of its requests that fail, slowdown the factor of its times.
	failures, slowdown float64
	// onset is the time after the order at which the fault begins.
	onset time.Duration
}

// newTestFault returns a random fault: 20 to 60 of 100 requests fail, or answers are 3 to 8 times slower.
func newTestFault(random *rand.Rand) *testFault {
	f := &testFault{slowdown: 1}
	if random.IntN(2) == 0 {
		f.failures = 0.2 + 0.4*random.Float64()
	} else {
		f.slowdown = 3 + 5*random.Float64()
	}
	if random.IntN(2) == 0 {
		f.onset = time.Duration(random.Float64() * float64(5*time.Second))
	}
	return f
}
