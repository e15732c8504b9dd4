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
	// outageTime is longer than the lease of a node and its margin.
	outageTime = 5 * time.Second
	// loadTime is for how long callers ask during the outage.
	loadTime = 2 * time.Second
)

// Guards against an outage of the key-value service that stops work on warm engines, that lets work through to an engine
// that has turned cold, or that does not end with the outage.
func TestKeyValueOutage(t *testing.T) {
	for name, outage := range map[string]kvserver.Outage{"refuses": kvserver.OutageRefuse, "hangs": kvserver.OutageHang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := harness.Start(t, harness.Options{
				Nodes: siteNodes, Engines: 2, ColdLimit: 2, MaxConcurrency: 2,
				Engine: engine.Options{Tokens: 10, StepTime: 10 * time.Millisecond, WarmAfter: 1},
			})
			callers := startLoad(t, s, callersPerNode)
			s.Await("both engines are warm", requestTimeout, func() bool {
				return s.EndpointsInState(admission.Warm) == len(s.Engines)
			})
			callers.end()
			s.KV.SetOutage(outage)
			time.Sleep(outageTime)
			s.Engines[0].Crash()
			time.Sleep(2 * time.Second)
			before, warm := s.Engines[0].Stats().Started, s.Engines[1].Stats().Started
			callers = startLoad(t, s, callersPerNode)
			time.Sleep(loadTime)
			assert.Equal(t, s.Engines[0].Stats().Started, before, "a cold engine received work from an unconfirmed owner")
			assert.Assert(t, s.Engines[1].Stats().Started > warm, "the warm engine received no work")
			s.KV.SetOutage(kvserver.OutageNone)
			s.Await("the cold engine works", requestTimeout, func() bool { return s.Engines[0].Stats().Started > before })
			for _, a := range callers.end() {
				a.AssertComplete(t)
			}
		})
	}
}

// Guards against a request that goes on crashing engines although its caller sends it again and again, and against a
// refusal of other requests because of it.
func TestCrashingRequestCostsTwoEnginesAtMost(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{
		Nodes: siteNodes, Engines: 4, Engine: engine.Options{Tokens: 10, CrashMarker: "poison"},
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

// Guards against a request that crashes one and the same engine again and again: each restart is a crash of its own.
func TestCrashingRequestCostsASingleEngineTwoCrashesAtMost(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{
		Nodes: siteNodes, Engines: 1, Engine: engine.Options{Tokens: 10, CrashMarker: "poison", RestartTime: 200 * time.Millisecond},
	})
	s.Await("the request is refused for good", requestTimeout, func() bool {
		a := s.Ask(requestContext(t), s.Nodes[0], "poison note", false)
		assert.Assert(t, a.Status != http.StatusOK)
		return a.Status == http.StatusUnprocessableEntity
	})
	assert.Equal(t, s.Engines[0].Stats().Crashes, int64(2))
}
