package edge

import (
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Guards against slowdowns of several services that overwrite each other.
func TestSpeedMetricsAreKeptByService(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	speedMetrics{scope: scope}.record([]dispatch.SpeedSummary{
		{Service: "a", Fastest: 0.5, Median: 1, Slowest: 2, Observations: 7}, {Service: "b", Fastest: 0.7},
	})
	gauges := scope.Snapshot().Gauges()
	assert.Equal(t, gauges["slowdown_min+service=a"].Value(), 0.5)
	assert.Equal(t, gauges["slowdown_max+service=a"].Value(), 2.0)
	assert.Equal(t, gauges["slowdown_observations+service=a"].Value(), 7.0)
	assert.Equal(t, gauges["slowdown_min+service=b"].Value(), 0.7)
}
