package rollout

import "github.com/uber-go/tally/v4"

// deciderMetrics are the metrics of a Decider.
type deciderMetrics struct {
	scope                                      tally.Scope
	terms, termsLost, conflicts, unknown, read tally.Counter
	stops                                      tally.Counter
}

func newDeciderMetrics(scope tally.Scope) *deciderMetrics {
	return &deciderMetrics{
		scope: scope, terms: scope.Counter("terms"), termsLost: scope.Counter("terms_lost"), conflicts: scope.Counter("write_conflicts"),
		unknown: scope.Counter("writes_unknown"), read: scope.Counter("reads"), stops: scope.Counter("stop_notices"),
	}
}

// countPhase counts a plan that was written.
func (m *deciderMetrics) countPhase(phase string) {
	m.scope.Tagged(map[string]string{"phase": phase}).Counter("plans").Inc(1)
}
