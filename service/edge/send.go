package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/limit"
	"azuredyke.dev/azuredyke/service/ratelimit"
)

// maxRateAsks bounds the endpoints for which the owner of the budget is asked for one request, since each question takes a round trip.
const maxRateAsks = 4

// spreadDivisor divides a Retry-After time: callers are told to return up to a quarter later.
const spreadDivisor = 4

// send places the request and sends it to one endpoint, where it starts over. The returned upstream must be ended.
func (s *session) send(ctx context.Context, o sendOptions) (*upstream, error) {
	if err := s.checkStop(); err != nil {
		return nil, err
	}
	up, err := s.placeChecked(ctx, o)
	if err != nil {
		return nil, err
	}
	// The node may have begun to stop while the request waited for its endpoint.
	if err := s.checkStop(); err != nil {
		up.end(dispatch.Cancelled)
		s.releaseTrial()
		return nil, err
	}
	return s.sendTo(ctx, up, o)
}

// sendTo sends the request to the placed endpoint. The returned upstream must be ended.
func (s *session) sendTo(ctx context.Context, up *upstream, o sendOptions) (*upstream, error) {
	if err := s.checkKey(o.startsOver()); err != nil {
		up.end(dispatch.Cancelled)
		if !o.continues() {
			s.releaseTrial()
		}
		return nil, err
	}
	sendCtx, cancel := context.WithCancel(ctx)
	up.cancel = cancel
	if s.sends > 0 {
		s.server.metrics.repeats.Inc(1)
	}
	s.sends++
	s.logOlderConfiguration()
	s.server.metrics.attempts.Inc(1)
	start := time.Now()
	up.sentAt = start
	up.record.sent()
	answer, err := s.server.sender.Send(sendCtx, s.request, s.newAttempt(up.placement, o))
	if err == nil || verdict.Of(err).Reason != verdict.ReasonUnreachable {
		s.arrivals++
	}
	if err != nil {
		return nil, s.failAttempt(ctx, up, o, err, time.Since(start))
	}
	up.answer = answer
	s.runs++
	up.measureAnswer(!s.route.Streaming, time.Since(start))
	s.log(zap.InfoLevel, "endpoint answered", zap.String("endpoint", up.placement.Endpoint.ID), zap.Int("status", answer.Status),
		zap.String("backup", up.placement.Backup.ID), zap.Int("in_flight", up.placement.InFlight),
		zap.Int("prefill", up.placement.Prefill), zap.Duration("load_age", up.placement.LoadAge),
		zap.Float64("slowdown", up.placement.Slowdown), zap.Float64("cached_tokens", up.placement.CachedTokens), zap.Duration("took", time.Since(start)))
	return up, nil
}

// logOlderConfiguration logs a request that is sent under an older version of the configuration than the one in force.
func (s *session) logOlderConfiguration() {
	if c := s.server.cluster.Load().Fleet.Configuration; c != nil && c.Version != s.cluster.Fleet.Configuration.Version {
		s.log(zap.InfoLevel, "request sent under an older configuration", zap.Int64("config_in_force", c.Version))
	}
}

// failAttempt ends an attempt that got no answer.
func (s *session) failAttempt(ctx context.Context, up *upstream, o sendOptions, err error, took time.Duration) error {
	v := verdict.Of(err)
	if v.Verdict != verdict.NotRun {
		s.runs++
	}
	s.endAttempt(ctx, up, outcomeOf(v))
	if v.Verdict != verdict.NotRun {
		s.giveUp(ctx, up.placement.Endpoint)
	}
	s.log(zap.WarnLevel, "attempt failed", zap.String("endpoint", up.placement.Endpoint.ID), zap.Stringer("verdict", v.Verdict),
		zap.String("reason", string(v.Reason)), zap.Duration("took", took), logging.Cause(err))
	if v.Verdict != verdict.NotRun {
		s.checkFailedEndpoint(ctx, up.placement.Endpoint, o)
	}
	if !o.continues() {
		// The admission of a run that was to continue elsewhere still holds where it runs.
		s.releaseTrial()
	}
	return err
}

// checkFailedEndpoint checks whether an endpoint that gave no answer and may have run the request has crashed under it. The quarantine
// knows the result before the request is sent again.
func (s *session) checkFailedEndpoint(ctx context.Context, endpoint fleet.Endpoint, o sendOptions) {
	if o.lastEvent == "" && s.request.LastEvent == "" {
		s.reportCrash(ctx, endpoint)
		return
	}
	s.mayContinueAfterBreak(ctx, endpoint, o.lastEvent == "")
}

// endAttempt ends an attempt and excludes its endpoint from the next attempts. If the request itself has ended, the
// outcome is not counted against the endpoint.
func (s *session) endAttempt(ctx context.Context, up *upstream, o dispatch.Outcome) {
	if ctx.Err() != nil {
		o = dispatch.Cancelled
	}
	up.end(o)
	s.triedEndpoints = append(s.triedEndpoints, up.placement.Endpoint.ID)
}

// place requests an endpoint from the dispatcher. If the endpoint limits the requests of all nodes, the owner of its budget must grant
// the request; if it does not, another endpoint is requested.
func (s *session) place(ctx context.Context, o sendOptions) (*upstream, error) {
	for asks := 0; ; asks++ {
		up, err := s.placeOnce(ctx, o, asks >= maxRateAsks)
		if err != nil || !up.placement.RateLimited {
			return up, err
		}
		endpoint := up.placement.Endpoint
		grant := s.acquireRate(ctx, endpoint, up.placement.RateLimit, o.continues())
		if grant.Granted {
			return up, nil
		}
		up.end(dispatch.Cancelled)
		if ctx.Err() != nil {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "waiting for a grant of the endpoint's limit: %w", ctx.Err())
		}
		s.server.placer.reportRateRefusal(rateRefusalMessage{endpoint: endpoint, retryAfter: grant.RetryAfter, repeat: s.arrivals > 0 && !o.continues()})
	}
}

// acquireRate asks the owner of an endpoint's budget for one request, and counts a refusal.
func (s *session) acquireRate(ctx context.Context, endpoint fleet.Endpoint, rate float64, continues bool) limit.Grant {
	grant := s.server.rates.Acquire(ctx, ratelimit.Question{
		Endpoint: ratelimit.EndpointOf(&endpoint.Endpoint), Ask: limit.Ask{Rate: rate, Continues: continues},
	})
	if !grant.Granted && ctx.Err() == nil {
		s.server.metrics.rateRefusals.Inc(1)
	}
	return grant
}

// placeOnce requests an endpoint from the dispatcher.
func (s *session) placeOnce(ctx context.Context, o sendOptions, avoidRateLimited bool) (*upstream, error) {
	leaving := make(chan departure, 2)
	m := placeMessage{request: s.placement(), id: s.request.ID, first: !s.counted, priority: s.priority(), leaving: leaving}
	s.counted = true
	m.request.AvoidRateLimited = avoidRateLimited
	m.waitUntil = s.request.Received.Add(s.route.FirstByteObjective / waitDivisor)
	if o.continues() {
		m.request.ForceRepeat, m.request.Resumed, m.request.SpareMemoryOnly, m.request.CopyPending = true, true, o.spareMemoryOnly, o.copyPending
		m.request.RequiredEndpoint, m.request.Exclude, m.request.SourceDataCentre = o.endpoint, o.exclude, o.sourceDataCentre
		m.request.Group = o.group
		m.waitUntil = time.Now()
	}
	if m.waitUntil.After(s.deadline) {
		m.waitUntil = s.deadline
	}
	if !o.continues() {
		m.held = s.heldRequest(m.request, m.waitUntil)
	}
	reply, err := s.server.placer.place(ctx, m)
	switch {
	case err != nil:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "waiting for an endpoint: %w", err)
	case reply.refusal == dispatch.CallerGone:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the request ended while it waited for an endpoint")
	case reply.refusal == dispatch.NoEndpoint:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "service %s has no endpoint", s.service)
	case reply.refusal != "":
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "service %s: %s", s.service, reply.refusal).
			WithRetryAfter(spread(reply.retryAfter))
	}
	record := s.newRolloutRecord(reply.placement, o)
	return &upstream{placement: reply.placement, leaving: leaving, cancel: func() {}, placer: s.server.placer, record: record}, nil
}

// newAttempt returns the attempt at the placed endpoint.
func (s *session) newAttempt(placement dispatch.Placement, o sendOptions) exchange.Attempt {
	a := exchange.Attempt{
		Endpoint: placement.Endpoint.ID, Address: placement.Endpoint.Address, Deadline: s.deadline, Backup: placement.Backup.Address,
		LastEvent: o.lastEvent,
	}
	if s.server.orderedAdmission.Load() && s.request.PromptTokens > 0 {
		a.Priority, a.HasPriority = min(maxEnginePriority, max(0, s.priority())), true
	}
	if s.workspace != nil {
		a.Workspace = s.workspace.Name
	}
	sentAt := time.Now()
	a.OnStatement = func(statement exchange.Statement) {
		// An answer without a statement says something only if the endpoint is known to limit its requests.
		if placement.RateLimited || statement != (exchange.Statement{}) {
			s.server.placer.reportStatement(placement.Endpoint, statement, sentAt)
		}
	}
	a.CopyAddress, a.CopyHandle = o.copyAddress, o.copyHandle
	return a
}

// spread returns a time up to a quarter longer than d, so that callers that were refused together do not return together.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/spreadDivisor+1))
}

// outcomeOf returns the outcome that is recorded for an endpoint after an attempt without an answer.
func outcomeOf(v *verdict.Error) dispatch.Outcome {
	switch v.Reason {
	case verdict.ReasonUnreachable:
		if exchange.ErrNoListener.Has(v) {
			return dispatch.NotListening
		}
		return dispatch.Unreachable
	case verdict.ReasonMisdirected:
		return dispatch.Misdirected
	case verdict.ReasonBusy:
		return dispatch.Refused
	default:
		return dispatch.Broken
	}
}
