package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// send places the request and sends it to one endpoint. The caller must end the result.
func (s *session) send(ctx context.Context, o sendOptions) (*upstream, error) {
	up, err := s.place(ctx, o)
	if err != nil {
		return nil, err
	}
	return s.sendTo(ctx, up, o)
}

// sendTo sends the request to an endpoint that was placed. The caller must end the result.
func (s *session) sendTo(ctx context.Context, up *upstream, o sendOptions) (*upstream, error) {
	sending, cancel := context.WithCancel(ctx)
	up.cancel = cancel
	if s.sends > 0 {
		s.server.metrics.repeats.Inc(1)
	}
	s.sends++
	s.server.metrics.attempts.Inc(1)
	began := time.Now()
	answer, err := s.server.sender.Send(sending, s.request, s.attempt(up.placed, o))
	if err != nil {
		return nil, s.failed(ctx, up, err, time.Since(began))
	}
	up.answer = answer
	s.runs++
	s.log(zap.InfoLevel, "endpoint answered", zap.String("endpoint", up.placed.Endpoint.ID), zap.Int("status", answer.Status),
		zap.String("backup", up.placed.Backup.ID), zap.Int("in_flight", up.placed.InFlight),
		zap.Int("prefill", up.placed.Prefill), zap.Duration("load_age", up.placed.LoadAge), zap.Duration("took", time.Since(began)))
	return up, nil
}

// failed ends an attempt without an answer.
func (s *session) failed(ctx context.Context, up *upstream, err error, took time.Duration) error {
	v := verdict.Of(err)
	s.copyAt = fleet.Endpoint{}
	if v.Verdict != verdict.NotRun {
		s.runs++
		s.copyAt = up.placed.Backup
	}
	s.giveUp(ctx, up, outcomeOf(v))
	s.log(zap.WarnLevel, "attempt failed", zap.String("endpoint", up.placed.Endpoint.ID), zap.Stringer("verdict", v.Verdict),
		zap.String("reason", string(v.Reason)), zap.Duration("took", took), logging.Cause(err))
	return err
}

// giveUp ends an attempt and leaves its endpoint out of the next ones. What ends with the request says nothing of the
// endpoint.
func (s *session) giveUp(ctx context.Context, up *upstream, o dispatch.Outcome) {
	if ctx.Err() != nil {
		o = dispatch.Cancelled
	}
	up.end(o)
	s.tried = append(s.tried, up.placed.Endpoint.ID)
}

// place asks the dispatcher for an endpoint.
func (s *session) place(ctx context.Context, o sendOptions) (*upstream, error) {
	leaving := make(chan departure, 2)
	m := placeMessage{request: s.placement(), first: s.sends == 0, priority: s.priority(), leaving: leaving}
	m.until = s.request.Received.Add(s.route.Objective / waitShare)
	if o.continues() {
		m.request.Free, m.request.Resumed, m.request.Spare, m.request.Copies = true, true, o.spare, o.moves
		m.request.Only, m.request.Exclude = o.at, o.exclude
		m.until = time.Now()
	}
	if m.until.After(s.deadline) {
		m.until = s.deadline
	}
	placed, refusal, err := s.server.placer.place(ctx, m)
	switch {
	case err != nil:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "waiting for an endpoint: %w", err)
	case refusal == dispatch.NoEndpoint:
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "%s has no endpoint", s.service)
	case refusal != "":
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "%s: %s", s.service, refusal)
	}
	return &upstream{placed: placed, leaving: leaving, cancel: func() {}, placer: s.server.placer}, nil
}

// attempt describes the sending to an endpoint.
func (s *session) attempt(placed dispatch.Placed, o sendOptions) exchange.Attempt {
	a := exchange.Attempt{
		Endpoint: placed.Endpoint.ID, Address: placed.Endpoint.Address, Deadline: s.deadline, Backup: placed.Backup.Address,
		LastEvent: o.lastEvent,
	}
	if s.workspace != nil {
		a.Workspace = s.workspace.Name
	}
	a.CopyAddress, a.CopyHandle = o.copyAddress, o.copyHandle
	return a
}

// outcomeOf says what an error without an answer tells of the endpoint.
func outcomeOf(v *verdict.Error) dispatch.Outcome {
	switch v.Reason {
	case verdict.ReasonUnreachable:
		return dispatch.Unreachable
	case verdict.ReasonMisdirected:
		return dispatch.Misdirected
	case verdict.ReasonBusy:
		return dispatch.Refused
	default:
		return dispatch.Broken
	}
}
