package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/engine"
	"azuredyke.dev/azuredyke/test/harness"
)

// leavesWithin is the time after which a leaving endpoint receives no new work.
const leavesWithin = 3 * time.Second

// Guards against a planned stop that cuts a stream short, that takes new work, or that never ends.
func TestTerminatedNodeFinishesItsStreams(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{Nodes: siteNodes, Engines: 1, Engine: engine.Options{Tokens: 150}})
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
	assert.Assert(t, late.Err != nil, "a node that has ended answered")
}

// Guards against new work for an engine that is leaving, however it says so, and against running work that is cut.
func TestLeavingEngineReceivesNoNewWork(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{
		Nodes: siteNodes, Engines: 3, ColdLimit: 4, MaxConcurrency: 4,
		// The engine never refuses, so that every request that still reaches it is counted as started.
		Engine: engine.Options{Tokens: 10, StepTime: 10 * time.Millisecond, LeaveDelay: time.Hour, LoadLag: 500 * time.Millisecond},
	})
	callers := startLoad(t, s, callersPerNode)
	reported, listed := s.Engines[0], s.Engines[1]
	s.Await("all engines work", requestTimeout, func() bool {
		return reported.Stats().Started > 10 && listed.Stats().Started > 10
	})
	reported.StartLeaving()
	s.SetLeaving(listed.Link.Address())
	time.Sleep(leavesWithin)
	before := []int64{reported.Stats().Started, listed.Stats().Started}
	time.Sleep(time.Second)
	assert.Equal(t, reported.Stats().Started, before[0], "its load report says that it is leaving")
	assert.Equal(t, listed.Stats().Started, before[1], "the list of hosts says that it is leaving")
	for _, a := range callers.end() {
		a.AssertComplete(t)
	}
}
