package integration

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/admission"
	"azuredyke.dev/azuredyke/fake/engine"
	"azuredyke.dev/azuredyke/fake/kvserver"
	"azuredyke.dev/azuredyke/test/harness"
)

const (
	// outageDuration exceeds the node lease of 3 s and its safety margin.
	outageDuration = 5 * time.Second
	// loadDuration is how long callers send requests during the outage.
	loadDuration = 2 * time.Second
)

// Guards against a key-value service outage that stops work on warm engines, against new work for an engine that turned cold
// during the outage, and against a node that does not recover after the outage.
func TestKeyValueOutage(t *testing.T) {
	for name, outage := range map[string]kvserver.Outage{"refuses": kvserver.OutageRefuse, "hangs": kvserver.OutageHang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := harness.Start(t, harness.Options{
				Nodes: nodesPerSite, Engines: 2, ColdLimit: 2, MaxConcurrency: 2,
				Engine: engine.Options{Tokens: 10, StepTime: 10 * time.Millisecond, WarmAfter: 1},
			})
			callers := startLoad(t, s, callersPerNode)
			s.Await("both engines are warm", requestTimeout, func() bool {
				return s.EndpointsInState(admission.Warm) == len(s.Engines)
			})
			callers.stopAndCollect()
			s.KV.SetOutage(outage)
			time.Sleep(outageDuration)
			s.Engines[0].Crash()
			time.Sleep(2 * time.Second)
			before, warm := s.Engines[0].Stats().Started, s.Engines[1].Stats().Started
			callers = startLoad(t, s, callersPerNode)
			time.Sleep(loadDuration)
			assert.Equal(t, s.Engines[0].Stats().Started, before, "a cold engine received work from an owner whose lease is not confirmed")
			assert.Assert(t, s.Engines[1].Stats().Started > warm, "the warm engine received no work")
			s.KV.SetOutage(kvserver.OutageNone)
			s.Await("the cold engine receives work after the outage", requestTimeout, func() bool { return s.Engines[0].Stats().Started > before })
			for _, a := range callers.stopAndCollect() {
				a.AssertComplete(t)
			}
		})
	}
}

// Guards against a request that crashes more than two engines when its caller retries it, and against refusing other
// requests because of it.
func TestCrashingRequestCostsTwoEnginesAtMost(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{
		Nodes: nodesPerSite, Engines: 4, Engine: engine.Options{Tokens: 10, CrashMarker: "poison"},
	})
	var last harness.Answer
	for range 8 {
		last = s.Ask(requestContext(t), s.Nodes[0], "poison note", false)
		assert.Assert(t, last.Status != http.StatusOK)
	}
	var crashes int64
	for _, e := range s.Engines {
		crashes += e.Stats().Crashes
	}
	assert.Assert(t, crashes <= 2, "%d engines crashed", crashes)
	assert.Equal(t, last.Verdict, verdict.NotRun.String())
	s.Ask(requestContext(t), s.Nodes[0], "harmless note", false).AssertComplete(t)
}

// Guards against a request that crashes a single engine repeatedly: every crash counts, even if the engine restarts.
func TestCrashingRequestCostsASingleEngineTwoCrashesAtMost(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{
		Nodes: nodesPerSite, Engines: 1, Engine: engine.Options{Tokens: 10, CrashMarker: "poison", RestartTime: 200 * time.Millisecond},
	})
	s.Await("the request is refused permanently", requestTimeout, func() bool {
		a := s.Ask(requestContext(t), s.Nodes[0], "poison note", false)
		assert.Assert(t, a.Status != http.StatusOK)
		return a.Status == http.StatusUnprocessableEntity
	})
	assert.Equal(t, s.Engines[0].Stats().Crashes, int64(2))
}
