package edge

import (
	"time"

	"github.com/uber-go/tally/v4"

	"azuredyke.dev/azuredyke/common/verdict"
)

// serverMetrics are the metrics of callers' requests.
type serverMetrics struct {
	scope       tally.Scope
	completed   tally.Counter
	attempts    tally.Counter
	repeats     tally.Counter
	moves       tally.Counter
	movesFailed tally.Counter
	streamsCut  tally.Counter
	// crashes counts the crashes of endpoints under requests of this node.
	crashes tally.Counter
	// runsStopped counts the runs that endpoints went on with after the close of their connections.
	runsStopped tally.Counter
	// streamsUnread counts the streams that ended because the caller did not read, and buffersReduced those that were told to
	// buffer less.
	streamsUnread  tally.Counter
	buffersReduced tally.Counter
	// rateRefusals counts the requests to endpoints with a limit that this node was not granted, also for lack of an owner's answer.
	rateRefusals tally.Counter
	firstByte    tally.Histogram
}

func newServerMetrics(scope tally.Scope) *serverMetrics {
	return &serverMetrics{
		scope: scope, completed: scope.Counter("completed"), attempts: scope.Counter("attempts"),
		repeats: scope.Counter("repeats"), moves: scope.Counter("moves"), movesFailed: scope.Counter("moves_failed"),
		streamsCut: scope.Counter("streams_cut"), crashes: scope.Counter("endpoint_crashes"),
		runsStopped: scope.Counter("runs_stopped"), streamsUnread: scope.Counter("streams_unread"),
		buffersReduced: scope.Counter("buffers_reduced"), rateRefusals: scope.Counter("rate_refusals"),
		firstByte: scope.Histogram("first_byte", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
	}
}

// countRefusal counts a refused request by reason and verdict.
func (m *serverMetrics) countRefusal(err *verdict.Error) {
	m.scope.Tagged(map[string]string{"reason": string(err.Reason), "verdict": err.Verdict.String()}).Counter("errors").Inc(1)
}
