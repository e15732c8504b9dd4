package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a forecast that counts only the present memory, or that has no reserve for deviations.
func TestForecastIncludesGrowthAndDeviation(t *testing.T) {
	lengths := NewLengthTable(nil)
	f := NewForecast(lengths, 1000, 100, 0, 16)
	assert.Equal(t, f.Now(), 1108.0)
	none := Forecast{}
	assert.Assert(t, f.PeakWith(&none) > f.Now()+100)
	mean := 0.0
	for _, m := range f.mean {
		mean = max(mean, m)
	}
	assert.Assert(t, f.PeakWith(&none) > mean)
	sum := Forecast{}
	sum.Add(&f)
	sum.Add(&f)
	assert.Assert(t, sum.PeakWith(&none) < 2*f.PeakWith(&none), "deviations of independent requests partly cancel out")
	sum.Remove(&f)
	assert.Equal(t, sum, f)
}
