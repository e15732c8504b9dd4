package edge

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/xxh3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
)

const (
	// waitShare is the part of the objective for which a request waits for an endpoint before it is refused.
	waitShare = 8
	// maxSends bounds the endpoints to which a request is offered, those that did not run it included.
	maxSends = 4
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to come back.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// lengthShare is the part of the caller's estimate of the output that a run holds on average: its memory grows from
	// nothing, and about half of the answers are longer than estimated.
	lengthShare = 0.6
	// tokenTime is how long a busy engine takes for a token; one that runs a single request takes 7 ms.
	tokenTime = 10 * time.Millisecond
	// estimateMargin is how much longer than expected an answer may be that a stopping node still accepts.
	estimateMargin = 3
)

// session is one request from its arrival to its answer.
type session struct {
	server  *Server
	request *exchange.Request
	caller  exchange.Caller

	known     *Knowledge
	route     *catalog.Route
	service   string
	workspace *catalog.Workspace
	deadline  time.Time
	// sends counts the arrivals at endpoints, runs those that may have run the request.
	sends, runs int
	tried       []string
	// copyAt keeps a copy of the memory of a run that ended without an answer; it has no ID when there is none.
	copyAt fleet.Endpoint
}

// serve checks the request and answers it.
func (s *session) serve(ctx context.Context) {
	if err := s.admit(); err != nil {
		s.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	for {
		up, err := s.send(ctx, sendOptions{})
		if err != nil && s.copyAt.ID != "" && ctx.Err() == nil {
			// The run may have begun, and then only its copy may go on.
			up, err = s.send(ctx, sendOptions{at: s.copyAt.ID, copyAddress: s.copyAt.Address})
		}
		if err == nil {
			err = s.relay(ctx, up)
		}
		if err == nil {
			return
		}
		if !s.mayTryAgain(ctx, err) {
			s.refuse(s.final(ctx, err))
			return
		}
	}
}

// admit finds the route and checks the key, from one version of the configuration.
func (s *session) admit() *verdict.Error {
	s.known = s.server.known.Load()
	c := s.known.Fleet.Configuration
	if c == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNoConfiguration, "no configuration yet").WithRetryAfter(minRetryAfter)
	}
	age := s.server.knowledgeAge()
	stale := age > s.server.revokeBound()-revokeMargin
	s.route = c.Route(s.request.Host, s.request.URL.Path)
	if s.route == nil {
		if stale {
			return s.staleError(age)
		}
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownPath, "no route for %s %s in version %d", s.request.Host, s.request.URL.Path, c.Version)
	}
	s.setDeadline()
	if c.Keys != nil && !s.route.Public {
		if stale {
			return s.staleError(age)
		}
		if s.workspace = c.Keys[s.request.Key]; s.workspace == nil {
			return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "unknown key in version %d", c.Version)
		}
	}
	if by := s.server.stopBy.Load(); by != nil && s.route.Streams && s.expectedEnd().After(*by) {
		return verdict.New(verdict.NotRun, verdict.ReasonStopping, "the node is stopping").WithRetryAfter(minRetryAfter)
	}
	s.service = s.route.Service(xxh3.HashString(s.request.ID))
	return nil
}

// staleError refuses a request because the node may have missed that its key was taken away.
func (s *session) staleError(age time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonStale, "the configuration was last confirmed %v ago", age.Round(time.Millisecond)).
		WithRetryAfter(minRetryAfter)
}

// setDeadline takes the earlier of the caller's deadline and the route's timeout.
func (s *session) setDeadline() {
	s.deadline = s.request.Received.Add(s.route.Timeout)
	if !s.request.Deadline.IsZero() && (s.route.Timeout <= 0 || s.request.Deadline.Before(s.deadline)) {
		s.deadline = s.request.Deadline
	}
}

// mayTryAgain reports whether the request may be sent to another endpoint after an error.
func (s *session) mayTryAgain(ctx context.Context, err error) bool {
	v := verdict.Of(err)
	if ctx.Err() != nil || s.sends >= maxSends || v.Reason == verdict.ReasonNoEndpoint || v.Reason == verdict.ReasonCancelled {
		return false
	}
	switch v.Verdict {
	case verdict.NotRun:
		return s.runs == 0 || s.route.MayRepeat()
	default:
		return s.route.MayRepeat() && s.runs < s.route.MaxAttempts
	}
}

// final returns the error that the caller gets. What may have run once is never called not run by a later attempt.
func (s *session) final(ctx context.Context, err error) *verdict.Error {
	v := *verdict.Of(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
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

// retryAfter grows with the objective: a caller with more time can wait for more room.
func (s *session) retryAfter() time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, s.route.Objective/2))
}

// refuse ends the request with an error.
func (s *session) refuse(err *verdict.Error) {
	s.server.metrics.refused(err)
	s.log(zap.WarnLevel, "request refused", zap.String("reason", string(err.Reason)), zap.Stringer("verdict", err.Verdict),
		zap.Duration("retry_after", err.RetryAfter), logging.Cause(err.Cause))
	select {
	case <-s.caller.Gone():
	default:
		s.caller.Refuse(err)
	}
}

// log writes a line about the request with what it was decided on.
func (s *session) log(level zapcore.Level, message string, fields ...zap.Field) {
	entry := s.server.log.Check(level, message)
	if entry == nil {
		return
	}
	all := []zap.Field{zap.String("request", s.request.ID), zap.Duration("since", time.Since(s.request.Received))}
	if s.known != nil && s.known.Fleet.Configuration != nil {
		all = append(all, zap.Int64("config", s.known.Fleet.Configuration.Version), zap.Int64("revision", s.known.Position),
			zap.Duration("confirmed", s.server.knowledgeAge()))
	}
	if s.route != nil {
		all = append(all, zap.String("route", s.route.Name), zap.Int("sends", s.sends), zap.Int("runs", s.runs))
	}
	entry.Write(append(all, fields...)...)
}

// placement returns what placement needs to know.
func (s *session) placement() dispatch.Request {
	r := dispatch.Request{Service: s.service, Repeat: s.sends > 0, Exclude: s.tried}
	if s.request.PromptTokens > 0 {
		r.PromptTokens = s.request.PromptTokens
		r.Tokens = s.request.PromptTokens + s.expectedOutput()
		r.Backup = s.route.Streams && !s.route.Resumable
	}
	return r
}

// expectedOutput returns the number of output tokens that the run holds on average.
func (s *session) expectedOutput() int {
	if s.request.LengthHint == 0 {
		return s.request.MaxTokens / 2
	}
	return min(s.request.MaxTokens, int(lengthShare*float64(s.request.LengthHint)))
}

// expectedEnd returns when a stream has ended most likely. The caller's estimate is often far off, so it counts more than once.
func (s *session) expectedEnd() time.Time {
	return s.request.Received.Add(s.route.Objective + time.Duration(estimateMargin*s.expectedOutput())*tokenTime)
}

// priority returns the rank of the request; 0 is the most urgent.
func (s *session) priority() int {
	if s.workspace != nil && s.workspace.HasPriority {
		return s.workspace.Priority
	}
	return s.route.Priority
}
