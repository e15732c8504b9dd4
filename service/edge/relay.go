package edge

import (
	"context"
	"io"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// maxWhole bounds the answers that are read whole before they are passed on, so that one that breaks off can be asked for
// again. Larger ones are passed on as they come.
const maxWhole = 256 << 10

// relay passes an answer on. An error means that the caller has seen nothing of it.
func (s *session) relay(ctx context.Context, up *upstream) error {
	if s.route.Streams && up.answer.Successful() {
		return s.relayStream(ctx, up)
	}
	return s.relayWhole(ctx, up)
}

// relayWhole reads the answer whole and passes it on. A failure of the endpoint is tried again where the request may be.
func (s *session) relayWhole(ctx context.Context, up *upstream) error {
	body, err := io.ReadAll(io.LimitReader(up.answer.Body, maxWhole))
	if err != nil {
		return s.broken(ctx, up, err)
	}
	if len(body) == maxWhole {
		s.relayLarge(up, body)
		return nil
	}
	if !up.answer.Successful() && up.answer.Status >= 500 {
		up.end(dispatch.Failed)
		s.tried = append(s.tried, up.placed.Endpoint.ID)
		failure := verdict.New(verdict.Ran, verdict.ReasonEndpointFailed, "%s failed with status %d", up.placed.Endpoint.ID, up.answer.Status)
		if s.mayTryAgain(ctx, failure) && s.tryOther(ctx) {
			return nil
		}
	} else {
		up.end(dispatch.Succeeded)
	}
	s.done(up)
	_ = s.caller.Whole(up.answer.Status, up.answer.Header, body)
	return nil
}

// broken ends an attempt whose answer broke off before the caller saw any of it.
func (s *session) broken(ctx context.Context, up *upstream, err error) error {
	s.giveUp(ctx, up, dispatch.Broken)
	s.log(zap.WarnLevel, "answer broke off", zap.String("endpoint", up.placed.Endpoint.ID), logging.Cause(err))
	return verdict.New(verdict.MayHaveRun, verdict.ReasonIncomplete, "answer of %s broke off: %w", up.placed.Endpoint.ID, err)
}

// tryOther sends the request to another endpoint and reports whether the caller has an answer from there.
func (s *session) tryOther(ctx context.Context) bool {
	up, err := s.send(ctx, sendOptions{})
	if err != nil {
		return false
	}
	return s.relay(ctx, up) == nil
}

// relayLarge passes on an answer of which only the start has been read.
func (s *session) relayLarge(up *upstream, start []byte) {
	if s.caller.Begin(up.answer.Status, up.answer.Header, up.answer.Length) != nil || s.caller.Write(start) != nil {
		up.end(dispatch.Cancelled)
		return
	}
	buffer := make([]byte, maxWhole)
	for {
		n, err := up.answer.Body.Read(buffer)
		if n > 0 && s.caller.Write(buffer[:n]) != nil {
			up.end(dispatch.Cancelled)
			return
		}
		if err == io.EOF {
			up.end(dispatch.Succeeded)
			s.done(up)
			return
		}
		if err != nil {
			up.end(dispatch.Broken)
			s.cut(up, err)
		}
	}
}

// done counts and logs an answer that was passed on.
func (s *session) done(up *upstream, fields ...zap.Field) {
	s.server.metrics.completed.Inc(1)
	s.log(zap.InfoLevel, "request answered", append(fields,
		zap.String("endpoint", up.placed.Endpoint.ID), zap.Int("status", up.answer.Status))...)
}

// cut breaks the caller's answer off. It does not return.
func (s *session) cut(up *upstream, err error) {
	s.server.metrics.cut.Inc(1)
	s.log(zap.WarnLevel, "answer cut", zap.String("endpoint", up.placed.Endpoint.ID), logging.Cause(err))
	s.caller.Abort()
}
