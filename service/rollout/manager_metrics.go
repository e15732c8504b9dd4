package rollout

import "github.com/uber-go/tally/v4"

// managerMetrics are the metrics of a Manager.
type managerMetrics struct {
	sends, samples, dropped, reports, sums, stops tally.Counter
	open                                          tally.Gauge
}

func newManagerMetrics(scope tally.Scope) *managerMetrics {
	return &managerMetrics{
		sends: scope.Counter("sends"), samples: scope.Counter("samples"), dropped: scope.Counter("samples_dropped"),
		reports: scope.Counter("reports"), sums: scope.Counter("sums"), stops: scope.Counter("stops"), open: scope.Gauge("open"),
	}
}
