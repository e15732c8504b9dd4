package edge

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// overloadMetrics are the metrics of the requests that wait for room on the engines.
type overloadMetrics struct {
	scope tally.Scope
	held  tally.Histogram
	// priorities are those whose number of waiting requests has been set.
	priorities map[int]bool
}

func newOverloadMetrics(scope tally.Scope) *overloadMetrics {
	return &overloadMetrics{
		scope: scope, priorities: map[int]bool{},
		held: scope.Histogram("held", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
	}
}

// setState sets the number of waiting requests by priority and the reserve by service.
func (m *overloadMetrics) setState(waiting map[int]int, reserves map[string]float64) {
	for priority := range waiting {
		m.priorities[priority] = true
	}
	for priority := range m.priorities {
		m.scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)}).Gauge("waiting").Update(float64(waiting[priority]))
	}
	for service, share := range reserves {
		m.scope.Tagged(map[string]string{"service": service}).Gauge("reserve").Update(share)
	}
}

// recordDecision records the end of a wait.
func (m *overloadMetrics) recordDecision(d dispatch.Decision, held time.Duration) {
	m.held.RecordDuration(held)
	if d.Refusal != "" {
		m.countRefusal(d.Refusal)
	} else if d.Held.Request.WithoutLimits {
		m.scope.Counter("sent_without_limits").Inc(1)
	}
}

// countRefusal counts a request that is not sent.
func (m *overloadMetrics) countRefusal(reason dispatch.Refusal) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refused").Inc(1)
}
