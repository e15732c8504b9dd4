package edge

import (
	"context"
	"io"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// maxBufferedBytes bounds the answers that are read completely before they are forwarded, so that the request can be
// repeated if the answer breaks off. Larger answers are forwarded as they arrive. Endpoints can send answers without end to
// hundreds of requests at once, and the smallest nodes have 100 MB.
const maxBufferedBytes = 32 << 10

// relay forwards an answer. An error means that the caller has received none of it.
func (s *session) relay(ctx context.Context, up *upstream) error {
	if s.route.Streaming && up.answer.Successful() {
		return s.relayStream(ctx, up)
	}
	return s.relayWhole(ctx, up)
}

// relayWhole reads the complete answer and forwards it. After a failure of the endpoint, it repeats the request at another
// endpoint if the route allows that.
func (s *session) relayWhole(ctx context.Context, up *upstream) error {
	body, err := io.ReadAll(io.LimitReader(up.answer.Body, maxBufferedBytes))
	if err != nil {
		return s.failIncomplete(ctx, up, err)
	}
	if len(body) == maxBufferedBytes {
		s.reportBegun(ctx)
		s.relayLarge(ctx, up, body)
		return nil
	}
	s.reportAnswer(ctx)
	if !up.answer.Successful() && up.answer.Status >= 500 {
		up.end(dispatch.Failed)
		s.triedEndpoints = append(s.triedEndpoints, up.placement.Endpoint.ID)
		failure := verdict.New(verdict.Ran, verdict.ReasonEndpointFailed, "%s failed with status %d", up.placement.Endpoint.ID, up.answer.Status)
		if s.mayRetry(ctx, failure) && s.retryElsewhere(ctx) {
			return nil
		}
	} else {
		up.end(dispatch.Succeeded)
	}
	s.finish(up)
	_ = s.caller.WriteAnswer(up.answer.Status, up.answer.Header, body)
	return nil
}

// failIncomplete ends an attempt whose answer broke off before any of it was forwarded.
func (s *session) failIncomplete(ctx context.Context, up *upstream, err error) error {
	s.endAttempt(ctx, up, dispatch.Broken)
	s.giveUp(ctx, up.placement.Endpoint)
	s.log(zap.WarnLevel, "answer broke off", zap.String("endpoint", up.placement.Endpoint.ID), logging.Cause(err))
	s.reportCrash(ctx, up.placement.Endpoint)
	return verdict.New(verdict.MayHaveRun, verdict.ReasonIncomplete, "answer of %s broke off: %w", up.placement.Endpoint.ID, err)
}

// retryElsewhere sends the request to another endpoint and reports whether the caller got that endpoint's answer.
func (s *session) retryElsewhere(ctx context.Context) bool {
	up, err := s.send(ctx, sendOptions{})
	if err != nil {
		return false
	}
	return s.relay(ctx, up) == nil
}

// relayLarge forwards an answer of which only the start has been read.
func (s *session) relayLarge(ctx context.Context, up *upstream, start []byte) {
	if s.caller.Begin(up.answer.Status, up.answer.Header, up.answer.Length) != nil || s.caller.Write(start) != nil {
		up.end(dispatch.Cancelled)
		return
	}
	buffer := make([]byte, maxBufferedBytes)
	for {
		n, err := up.answer.Body.Read(buffer)
		if n > 0 && s.caller.Write(buffer[:n]) != nil {
			up.end(dispatch.Cancelled)
			return
		}
		if err == io.EOF {
			up.end(dispatch.Succeeded)
			s.reportAnswer(ctx)
			s.finish(up)
			return
		}
		if err != nil {
			up.end(dispatch.Broken)
			s.beginCrashCheck(ctx, up.placement.Endpoint, true)
			s.abort(up, err)
		}
	}
}

// finish counts and logs a forwarded answer.
func (s *session) finish(up *upstream, fields ...zap.Field) {
	s.server.metrics.completed.Inc(1)
	s.log(zap.InfoLevel, "request answered", append(fields,
		zap.String("endpoint", up.placement.Endpoint.ID), zap.Int("status", up.answer.Status))...)
}

// abort closes the caller's connection before the end of the answer. It does not return.
func (s *session) abort(up *upstream, err error) {
	s.server.metrics.streamsCut.Inc(1)
	s.log(zap.WarnLevel, "answer cut", zap.String("endpoint", up.placement.Endpoint.ID), logging.Cause(err))
	s.caller.Abort()
}
