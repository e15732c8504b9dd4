package edge

import (
	"time"

	"github.com/uber-go/tally/v4"

	"azuredyke.dev/azuredyke/common/verdict"
)

// serverMetrics counts what callers see.
type serverMetrics struct {
	scope     tally.Scope
	completed tally.Counter
	attempts  tally.Counter
	repeats   tally.Counter
	moves     tally.Counter
	lostMoves tally.Counter
	cut       tally.Counter
	firstByte tally.Histogram
}

func newServerMetrics(scope tally.Scope) *serverMetrics {
	return &serverMetrics{
		scope: scope, completed: scope.Counter("completed"), attempts: scope.Counter("attempts"),
		repeats: scope.Counter("repeats"), moves: scope.Counter("moves"), lostMoves: scope.Counter("moves_failed"),
		cut:       scope.Counter("streams_cut"),
		firstByte: scope.Histogram("first_byte", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
	}
}

// refused counts an error by its reason and verdict.
func (m *serverMetrics) refused(err *verdict.Error) {
	m.scope.Tagged(map[string]string{"reason": string(err.Reason), "verdict": err.Verdict.String()}).Counter("errors").Inc(1)
}
