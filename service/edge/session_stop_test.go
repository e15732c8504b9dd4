package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/verdict"
)

// silentSender sends requests to endpoints that never answer.
type silentSender struct{ sent int }

func (s *silentSender) Send(ctx context.Context, _ *exchange.Request, _ exchange.Attempt) (*exchange.Answer, error) {
	s.sent++
	<-ctx.Done()
	return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonEndpointFailed, "no answer: %w", ctx.Err())
}

// stopAfter makes the server begin to stop after a delay, with the given time for its requests.
func stopAfter(delay, untilCut time.Duration) func(*Server) {
	return func(s *Server) {
		time.AfterFunc(delay, func() { s.graceEnd.set(time.Now().Add(untilCut)) })
	}
}

// Guards against a connection that is closed without an answer at the end of the grace period.
func TestRequestWithoutAnswerGetsAnErrorAtGraceEnd(t *testing.T) {
	for name, route := range map[string]catalog.Route{
		"whole answer": {Timeout: 39 * time.Second, FirstByteObjective: time.Second, MaxAttempts: 1},
		"repeatable":   {Timeout: 39 * time.Second, FirstByteObjective: time.Second, MaxAttempts: 2, Repeatability: catalog.Repeatable},
		"stream":       {Timeout: 39 * time.Second, FirstByteObjective: time.Second, MaxAttempts: 1, Streaming: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start, sender := time.Now(), &silentSender{}
				caller := serveRequest(t, route, sender, nil, stopAfter(time.Second, 7*time.Second))
				assert.Equal(t, caller.endedAt.Sub(start), 8*time.Second)
				assert.Assert(t, caller.refusal != nil && !caller.aborted)
				assert.Equal(t, caller.refusal.Verdict, verdict.MayHaveRun)
				assert.Equal(t, caller.refusal.Reason, verdict.ReasonStopping)
				assert.Equal(t, sender.sent, 1)
			})
		})
	}
}

// Guards against a stopping node that sends a request to another endpoint although it may have to cut the answer.
func TestStoppingNodeDoesNotRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := catalog.Route{Streaming: true, Resumable: true, Timeout: 39 * time.Second, FirstByteObjective: time.Second, MaxAttempts: 2}
		sender := &failingSender{failures: 1, failure: verdict.New(verdict.NotRun, verdict.ReasonBusy, "full")}
		caller := serveRequest(t, route, sender, &slowStream{raw: "x", pause: time.Second, events: 20}, stopAfter(100*time.Millisecond, 7*time.Second), func(s *Server) {
			s.sender = delayedSender{sender: s.sender, delay: time.Second}
		})
		assert.Equal(t, sender.sent, 1)
		assert.Assert(t, caller.refusal != nil)
		assert.Equal(t, caller.refusal.Verdict, verdict.NotRun)
		assert.Equal(t, caller.refusal.Reason, verdict.ReasonStopping)
	})
}

// delayedSender sends requests after a delay.
type delayedSender struct {
	sender exchange.Sender
	delay  time.Duration
}

func (s delayedSender) Send(ctx context.Context, r *exchange.Request, a exchange.Attempt) (*exchange.Answer, error) {
	time.Sleep(s.delay)
	return s.sender.Send(ctx, r, a)
}
