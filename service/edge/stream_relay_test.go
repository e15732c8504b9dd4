package edge

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/verdict"
)

// slowStream returns an event after each pause and ends after its last event.
type slowStream struct {
	raw    string
	pause  time.Duration
	events int
}

func (s *slowStream) Next() (exchange.Event, error) {
	if s.events == 0 {
		return exchange.Event{}, io.EOF
	}
	s.events--
	time.Sleep(s.pause)
	return exchange.Event{Raw: []byte(s.raw)}, nil
}

// Guards against a slow but sound stream that is cut although its route allows it, with and without a limit of the route.
func TestSlowStreamIsServedToItsEnd(t *testing.T) {
	for _, timeout := range []time.Duration{0, 10 * time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			route := catalog.Route{Streaming: true, Timeout: timeout, FirstByteObjective: time.Second, PauseObjective: 30 * time.Second, MaxAttempts: 1}
			caller := serveRequest(t, route, &failingSender{}, &slowStream{raw: "x", pause: 25 * time.Second, events: 20})
			assert.Equal(t, caller.body, "xxxxxxxxxxxxxxxxxxxx")
			assert.Assert(t, !caller.aborted && caller.refusal == nil)
		})
	}
}

// Guards against a stalled stream that goes on forever because its endpoint sends a comment now and then, and against one that
// looks complete when it is ended.
func TestStalledStreamEndsAtItsDeadline(t *testing.T) {
	for timeout, want := range map[time.Duration]time.Duration{0: maxRequestTime, 39 * time.Second: 39 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			route := catalog.Route{Streaming: true, Timeout: timeout, FirstByteObjective: time.Second, MaxAttempts: 1}
			caller := serveRequest(t, route, &failingSender{}, &slowStream{raw: ": wait\n\n", pause: time.Second, events: 10_000})
			assert.Equal(t, caller.endedAt.Sub(start), want)
			assert.Assert(t, caller.aborted)
		})
	}
}

// Guards against a stream without any event that reaches the caller as complete. An endpoint that crashes may end an answer
// that has neither a length nor chunks like that.
func TestStreamWithoutEventsIsNotComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := catalog.Route{Streaming: true, FirstByteObjective: time.Second, MaxAttempts: 1}
		caller := serveRequest(t, route, &failingSender{}, &slowStream{})
		assert.Assert(t, caller.refusal != nil)
		assert.Equal(t, caller.refusal.Verdict, verdict.MayHaveRun)
	})
}
