package edge

import (
	"github.com/uber-go/tally/v4"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// speedMetrics show the learnt speed of the endpoints. They belong to the dispatcher task.
type speedMetrics struct {
	scope tally.Scope
}

// record sets the gauges of each service.
func (m speedMetrics) record(summaries []dispatch.SpeedSummary) {
	for _, s := range summaries {
		scope := m.scope.Tagged(map[string]string{"service": s.Service})
		scope.Gauge("slowdown_min").Update(s.Fastest)
		scope.Gauge("slowdown_median").Update(s.Median)
		scope.Gauge("slowdown_max").Update(s.Slowest)
		scope.Gauge("slowdown_observations").Update(s.Observations)
	}
}
