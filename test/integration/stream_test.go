package integration

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/engine"
	"azuredyke.dev/azuredyke/test/harness"
)

// requestTimeout limits each request of a caller, so that a fault cannot block a test.
const requestTimeout = 60 * time.Second

// requestContext returns the context of one request.
func requestContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	t.Cleanup(cancel)
	return ctx
}

// generationsStarted returns the total number of generations that the engines have started.
func generationsStarted(s *harness.Site) int64 {
	var sum int64
	for _, e := range s.Engines {
		sum += e.Stats().Started
	}
	return sum
}

// runningEngine returns the engine that runs the only generation, and fails the test if there is none.
func runningEngine(t *testing.T, s *harness.Site) *harness.Engine {
	t.Helper()
	for _, e := range s.Engines {
		if e.Stats().Running == 1 {
			return e
		}
	}
	t.Fatal("no engine is running the request")
	return nil
}

// Guards against a stream that ends without an error after its engine was killed, and against a stream that continues with the
// tokens of another generation.
func TestStreamOfKilledEngineEndsWithAnError(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{Nodes: nodesPerSite, Engines: 2, Engine: engine.Options{Tokens: 200}})
	killed := false
	a := s.AskWithProgress(requestContext(t), s.Nodes[len(s.Nodes)-1], "long note", true, func(words int) {
		if words >= 10 && !killed {
			killed = true
			runningEngine(t, s).Kill()
		}
	})
	assert.Assert(t, killed)
	assert.Assert(t, !a.Done, "the answer is truncated but ends with [DONE]")
	assert.Equal(t, a.FinishReason, "")
	assert.Assert(t, a.ErrorBody != "", "the stream ended without an error event")
	assert.NilError(t, a.VerifyOrder())
	assert.Assert(t, len(a.Words) >= 10 && len(a.Words) < 200)
}

// Guards against a truncated answer or an error for a non-streamed request when one of two engines is killed.
func TestWholeAnswerSurvivesKilledEngine(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{Nodes: nodesPerSite, Engines: 2, Engine: engine.Options{Tokens: 100}})
	answers := make(chan harness.Answer, 1)
	go func() { answers <- s.Ask(requestContext(t), s.Nodes[len(s.Nodes)-1], "whole note", false) }()
	s.Await("an engine has produced tokens", requestTimeout, func() bool {
		for _, e := range s.Engines {
			if e.Stats().Tokens > 10 {
				return true
			}
		}
		return false
	})
	runningEngine(t, s).Kill()
	a := <-answers
	a.AssertComplete(t)
	assert.Equal(t, len(a.Words), 100)
	assert.Equal(t, generationsStarted(s), int64(2))
}

// Guards against a stream that hangs when its connection stalls without closing, and against a resume that repeats, loses or
// reorders tokens or restarts the generation.
func TestStalledStreamResumes(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{Nodes: nodesPerSite, Engines: 1, Engine: engine.Options{Tokens: 150}})
	stalls := 0
	a := s.AskWithProgress(requestContext(t), s.Nodes[len(s.Nodes)-1], "stalled note", true, func(words int) {
		if words == 10 && stalls == 0 || words >= 80 && stalls == 1 {
			stalls++
			s.Engines[0].Link.StallOpenConnections()
		}
	})
	a.AssertComplete(t)
	assert.Equal(t, len(a.Words), 150)
	assert.Equal(t, stalls, 2)
	stats := s.Engines[0].Stats()
	assert.Assert(t, stats.Resumes >= 2, "%d resumes", stats.Resumes)
	assert.Equal(t, stats.Started, int64(1))
}
