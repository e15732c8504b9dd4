package edge

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
	decision "azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/service/quarantine"
)

const (
	// waitDivisor divides the route's objective: a request waits for an endpoint for an eighth of it before it is refused.
	waitDivisor = 8
	// maxSends bounds the endpoints to which a request is sent, including those that did not run it.
	maxSends = 4
	// maxRequestTime bounds a request for which neither the route nor the caller sets a limit.
	maxRequestTime = time.Hour
	// minRetryAfter and maxRetryAfter bound the Retry-After time of a refused request.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// averageLengthRatio is the ratio of a run's output length, averaged over its duration, to the caller's estimate. The
	// output grows from zero, and about half of the answers are longer than estimated.
	averageLengthRatio = 0.6
)

// session handles one request from its arrival to its answer.
type session struct {
	server  *Server
	request *exchange.Request
	caller  exchange.Caller

	cluster   *clusterState
	route     *catalog.Route
	service   string
	workspace *catalog.Workspace
	deadline  time.Time
	// sends counts the attempts, arrivals those for which a connection was opened, and runs those that ran or may have run the
	// request.
	sends, arrivals, runs int
	// counted is set once the request was added to the retry budget.
	counted        bool
	triedEndpoints []string
	// stops holds the tasks that stop runs of the request which were given up.
	stops []*runStop
	// fingerprints are those by which the quarantine knows the request.
	fingerprints []decision.Fingerprint
	// admission is the quarantine's admission of the current attempt. It is empty once the outcome was reported.
	admission quarantine.Admission
	// check is the check of the last break after the answer had begun; nil if there is none or its result is included.
	check *crashCheck
}

// serve checks the request and answers it.
func (s *session) serve(ctx context.Context) {
	if err := s.admit(); err != nil {
		s.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	ctx, cancelAtGraceEnd := s.server.withGraceEnd(ctx)
	defer cancelAtGraceEnd()
	s.setFingerprints()
	defer s.releaseTrial()
	for {
		up, err := s.send(ctx, sendOptions{})
		if err == nil {
			err = s.relay(ctx, up)
		}
		if err == nil {
			return
		}
		if !s.mayRetry(ctx, err) {
			s.refuse(s.finalError(ctx, err))
			return
		}
	}
}

// mayRetry reports whether the request may be sent to another endpoint after an error.
func (s *session) mayRetry(ctx context.Context, err error) bool {
	v := verdict.Of(err)
	if ctx.Err() != nil || s.sends >= maxSends {
		return false
	}
	switch v.Reason {
	case verdict.ReasonNoEndpoint, verdict.ReasonCancelled, verdict.ReasonQuarantined, verdict.ReasonStopping:
		return false
	case verdict.ReasonUnauthorized, verdict.ReasonUnknownPath, verdict.ReasonStale, verdict.ReasonNoConfiguration:
		// The request was checked again after a wait and may not run any more.
		return false
	}
	switch v.Verdict {
	case verdict.NotRun:
		return s.runs == 0 || s.route.MayRepeat()
	default:
		return s.route.MayRepeat() && s.runs < s.route.MaxAttempts
	}
}

// finalError returns the error for the caller. Once an attempt may have run, a later attempt cannot turn the verdict back
// to not-run.
func (s *session) finalError(ctx context.Context, err error) *verdict.Error {
	v := *verdict.Of(err)
	switch {
	case errors.Is(context.Cause(ctx), errGraceEnded):
		v.Reason = verdict.ReasonStopping
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		v.Reason = verdict.ReasonTimeout
	}
	if s.runs > 0 {
		v.Verdict = verdict.MayHaveRun
	}
	if v.Verdict == verdict.NotRun && v.RetryAfter == 0 {
		v.RetryAfter = s.retryAfter()
	}
	return &v
}

// retryAfter returns the Retry-After time. It grows with the route's objective, which allows callers a longer wait.
func (s *session) retryAfter() time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, s.route.FirstByteObjective/2))
}

// refuse ends the request with an error.
func (s *session) refuse(err *verdict.Error) {
	s.server.metrics.countRefusal(err)
	s.log(zap.WarnLevel, "request refused", zap.String("reason", string(err.Reason)), zap.Stringer("verdict", err.Verdict),
		zap.Duration("retry_after", err.RetryAfter), logging.Cause(err.Cause))
	// A caller that has ended only its side of the connection still reads the answer.
	s.caller.Refuse(err)
}

// log writes a line about the request, with the versions of the configuration and state used and the attempts so far.
func (s *session) log(level zapcore.Level, message string, fields ...zap.Field) {
	entry := s.server.log.Check(level, message)
	if entry == nil {
		return
	}
	all := []zap.Field{zap.String("request", s.request.ID), zap.Duration("since", time.Since(s.request.Received))}
	if s.cluster != nil && s.cluster.Fleet.Configuration != nil {
		all = append(all, zap.Int64("config", s.cluster.Fleet.Configuration.Version), revisionField(s.cluster.Revision),
			zap.Duration("confirmed", s.server.stateAge()))
	}
	if s.route != nil {
		all = append(all, zap.String("route", s.route.Name), zap.Int("sends", s.sends), zap.Int("runs", s.runs))
	}
	entry.Write(append(all, fields...)...)
}

// placement returns the request as the dispatcher places it.
func (s *session) placement() dispatch.Request {
	// The retry budget bounds the arrivals at endpoints. An attempt whose connection was refused is none.
	r := dispatch.Request{Service: s.service, Repeat: s.arrivals > 0, Exclude: s.triedEndpoints}
	r.Priority = s.priority()
	if s.route.FirstByteObjective > 0 {
		r.FirstEventBy = s.request.Received.Add(s.route.FirstByteObjective)
	}
	if s.request.PromptTokens > 0 {
		r.PromptTokens = s.request.PromptTokens
		r.Tokens = s.request.PromptTokens + s.expectedOutput()
		for _, part := range s.request.PromptParts {
			r.Prompt = r.Prompt.Append(part.ID, part.Tokens)
		}
		r.Backup = s.route.Streaming && !s.route.Resumable
	}
	return r
}

// expectedOutput returns the average number of output tokens that the run holds.
func (s *session) expectedOutput() int {
	if s.request.LengthHint == 0 {
		return s.request.MaxTokens / 2
	}
	return min(s.request.MaxTokens, int(averageLengthRatio*float64(s.request.LengthHint)))
}

// priority returns the rank of the request; 0 is the most urgent.
func (s *session) priority() int {
	if s.workspace != nil && s.workspace.HasPriority {
		return s.workspace.Priority
	}
	return s.route.Priority
}
