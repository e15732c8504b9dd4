package edge

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// engines returns a started site with one node and two engines.
func engines(t *testing.T) (*harness.EdgeSite, map[string]*workers.Worker) {
	t.Helper()
	s := harness.NewEdgeSite(t, 1)
	byID := map[string]*workers.Worker{}
	for _, id := range []string{"engine-1", "engine-2"} {
		byID[id] = s.AddWorker(id, true)
	}
	s.Start()
	return s, byID
}

// runsOn returns the worker that runs a request last.
func runsOn(t *testing.T, s *harness.EdgeSite, id string) string {
	runs := s.Fleet.Runs(t.Context(), id)
	if len(runs) == 0 {
		return ""
	}
	return runs[len(runs)-1].Worker
}

// Guards against a stream that is cut, or has an event twice, because its engine leaves.
func TestStreamGoesOnWhenItsEngineLeaves(t *testing.T) {
	s, byID := engines(t)
	ids, err := readEvents(t, s.Request(s.Nodes[0], http.MethodPost, "/note/1", "r1"), func(count int) {
		if count == 10 {
			s.PutWorkerEntry(byID[runsOn(t, s, "r1")], "draining")
		}
	})
	assert.NilError(t, err)
	assertWhole(t, ids, 60)
	runs := s.Fleet.Runs(t.Context(), "r1")
	assert.Equal(t, len(runs), 2)
	assert.Assert(t, runs[0].Worker != runs[1].Worker)
}

// Guards against a stream that is lost with an engine that crashes without a notice.
func TestStreamGoesOnWhenItsEngineCrashes(t *testing.T) {
	s, _ := engines(t)
	ids, err := readEvents(t, s.Request(s.Nodes[0], http.MethodPost, "/note/1", "r1"), func(count int) {
		if count == 10 {
			s.KillWorker(runsOn(t, s, "r1"))
		}
	})
	assert.NilError(t, err)
	assertWhole(t, ids, 60)
}

// Guards against a run that is lost with its engine because the engine with its copy left before.
func TestStreamGoesOnAfterItsCopyWasLost(t *testing.T) {
	s, byID := engines(t)
	byID["engine-3"] = s.AddWorker("engine-3", true)
	var backup string
	ids, err := readEvents(t, s.Request(s.Nodes[0], http.MethodPost, "/note/1", "r1"), func(count int) {
		switch count {
		case 5:
			for id := range byID {
				if id != runsOn(t, s, "r1") && s.Fleet.HasCopy(t.Context(), byID[id].Address+"/r1") {
					backup = id
				}
			}
			assert.Assert(t, backup != "")
			s.PutWorkerEntry(byID[backup], "draining")
			s.Eventually("another copy", func() bool { return s.Fleet.Moves(t.Context()) > 0 })
		case 50:
			s.PutWorkerEntry(byID[runsOn(t, s, "r1")], "draining")
		}
	})
	assert.NilError(t, err)
	assertWhole(t, ids, 60)
}

// Guards against an answer that looks complete although its engine is gone for good.
func TestStreamWithoutCopyIsCutVisibly(t *testing.T) {
	s := harness.NewEdgeSite(t, 1)
	s.AddWorker("engine-1", true)
	s.Start()
	_, err := readEvents(t, s.Request(s.Nodes[0], http.MethodPost, "/note/1", "r1"), func(count int) {
		if count == 10 {
			s.KillWorker("engine-1")
		}
	})
	assert.Assert(t, err != nil, "the stream ended as if it were complete")
}

// Guards against work at an engine for a caller that has left.
func TestWorkStopsWhenTheCallerLeaves(t *testing.T) {
	s, _ := engines(t)
	req := s.Request(s.Nodes[0], http.MethodPost, "/note/1", "r1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	s.Eventually("the engine stops", func() bool {
		runs := s.Fleet.Runs(t.Context(), "r1")
		return len(runs) == 1 && runs[0].Ended
	})
}

// Guards against a run that goes down with its engine because the store could not say that the engine leaves.
func TestStreamGoesOnWhenOnlyTheEngineSaysThatItLeaves(t *testing.T) {
	s, byID := engines(t)
	for _, w := range byID {
		w.Events = 400
	}
	ids, err := readEvents(t, s.Request(s.Nodes[0], http.MethodPost, "/note/1", "r1"), func(count int) {
		if count == 10 {
			s.Nodes[0].StoreLink.Stall()
			s.Fleet.Leave(t.Context(), runsOn(t, s, "r1"))
		}
	})
	assert.NilError(t, err)
	assertWhole(t, ids, 400)
	assert.Equal(t, len(s.Fleet.Runs(t.Context(), "r1")), 2)
}
