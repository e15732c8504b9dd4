package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/engine"
	"azuredyke.dev/azuredyke/test/harness"
)

// leavingBound is the time after which a leaving endpoint must receive no new work.
const leavingBound = 3 * time.Second

// Guards against a planned stop that truncates a stream, accepts new work or never completes.
func TestTerminatedNodeFinishesItsStreams(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{Nodes: nodesPerSite, Engines: 1, Engine: engine.Options{Tokens: 150}})
	node := s.Nodes[0]
	terminated := false
	a := s.AskWithProgress(requestContext(t), node, "care note", true, func(words int) {
		if words == 10 && !terminated {
			terminated = true
			node.Terminate()
		}
	})
	a.AssertComplete(t)
	assert.Equal(t, len(a.Words), 150)
	assert.NilError(t, node.Wait(requestTimeout))
	late := s.Ask(requestContext(t), node, "late note", false)
	assert.Assert(t, late.Err != nil, "a node answered after its process had exited")
}

// Guards against new work for an engine whose load report or host list entry says that it is leaving, and against truncating
// its running work.
func TestLeavingEngineReceivesNoNewWork(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{
		Nodes: nodesPerSite, Engines: 3, ColdLimit: 4, MaxConcurrency: 4,
		// With this delay the engine never refuses a request, so every request that reaches it counts as started.
		Engine: engine.Options{Tokens: 10, StepTime: 10 * time.Millisecond, LeaveDelay: time.Hour, LoadLag: 500 * time.Millisecond},
	})
	callers := startLoad(t, s, callersPerNode)
	reported, listed := s.Engines[0], s.Engines[1]
	s.Await("all engines work", requestTimeout, func() bool {
		return reported.Stats().Started > 10 && listed.Stats().Started > 10
	})
	reported.StartLeaving()
	s.SetLeaving(listed.Link.Address())
	time.Sleep(leavingBound)
	before := []int64{reported.Stats().Started, listed.Stats().Started}
	time.Sleep(time.Second)
	assert.Equal(t, reported.Stats().Started, before[0], "an engine that reports leaving received new work")
	assert.Equal(t, listed.Stats().Started, before[1], "an engine that is listed as leaving received new work")
	for _, a := range callers.stopAndCollect() {
		a.AssertComplete(t)
	}
}
