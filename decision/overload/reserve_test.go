package overload

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a reserve that is too small for the engines that leave at the same time, that adds up departures at different
// times, or that outlasts the departures.
func TestReserveFollowsLargestWave(t *testing.T) {
	var r Reserve
	assert.Equal(t, r.Share(start), 0.0)
	for wave := range 3 {
		for i := range 4 + wave {
			r.RecordDeparture(after(3300*wave+200*i), 44)
		}
	}
	near := func(at int, want float64) {
		t.Helper()
		assert.Assert(t, math.Abs(r.Share(after(at))-want) < 1e-9, "%v", r.Share(after(at)))
	}
	near(7500, 6.0/44)
	near(18_000, 0)
	for range 30 {
		r.RecordDeparture(after(20_000), 44)
	}
	near(20_500, maxReserve)
	// The share of one moment includes the departures that become known at that moment.
	r = Reserve{}
	near(40_000, 0)
	r.RecordDeparture(after(40_000), 10)
	near(40_000, 0.1)
}
