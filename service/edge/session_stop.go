package edge

import (
	"time"

	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/shutdown"
)

// checkStop returns an error if the node is stopping and cannot finish the request for certain.
func (s *session) checkStop() *verdict.Error {
	cutAt := s.server.graceEnd.at.Load()
	if cutAt == nil {
		return nil
	}
	r := shutdown.Request{
		LatestEnd: s.deadline, ExpectedEnd: time.Now().Add(s.route.FirstByteObjective), WholeAnswer: !s.route.Streaming,
		Repeatable: s.route.MayRepeat(),
	}
	if r.IsAccepted(*cutAt) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonStopping, "the node is stopping and may not finish the request").
		WithRetryAfter(spread(minRetryAfter))
}
