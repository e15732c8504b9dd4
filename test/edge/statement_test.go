package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// startPair starts a site with the endpoints desk-1 and desk-2 and two nodes.
func startPair(t *testing.T, change func(*workers.Worker)) (*harness.EdgeSite, *workers.Worker) {
	t.Helper()
	s := harness.NewEdgeSite(t, 2)
	first := s.AddWorkerWith("desk-1", false, change)
	s.AddWorker("desk-2", false)
	s.Start()
	return s, first
}

// lookups sends requests to a node and returns how many of them reached desk-1.
func lookups(t *testing.T, s *harness.EdgeSite, n *harness.EdgeNode, name string) int {
	t.Helper()
	reached := 0
	for i := range 30 {
		id := fmt.Sprintf("%s-%d", name, i)
		resp, _, err := send(t, s.Request(n, http.MethodGet, "/lookup/"+id, id))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		for _, a := range s.Fleet.History(t.Context()).Arrivals {
			if a.Worker == "desk-1" && a.Request == id {
				reached++
			}
		}
	}
	return reached
}

// Guards against requests to an endpoint after it has said in an answer that it is leaving, while the store says that it is ready or
// is cut off; and against the next endpoint at the address that gets none.
func TestEndpointThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	s, first := startPair(t, func(*workers.Worker) {})
	n := s.Nodes[0]
	assert.Assert(t, lookups(t, s, n, "before") > 0)
	s.Fleet.Leave(t.Context(), "desk-1")
	s.Eventually("the node hears that the endpoint leaves", func() bool {
		lookups(t, s, n, "until-heard")
		return strings.Contains(n.Log(), "endpoint announced that it is leaving")
	})
	assert.Equal(t, lookups(t, s, n, "after"), 0)
	s.PutWorkerEntry(first, "ready")
	s.SetAPIKeys(harness.EdgeAPIKey)
	assert.Equal(t, lookups(t, s, n, "entry-written-again"), 0)
	n.StoreLink.Cut()
	assert.Equal(t, lookups(t, s, n, "store-cut-off"), 0)
	assert.Assert(t, lookups(t, s, s.Nodes[1], "other-node") <= 1, "a node learns it from the first answer")
}

// Guards against requests to an endpoint within the time for which it has said that it wants none, and against a refusal that tells
// callers to come back earlier.
func TestEndpointThatWantsAPauseGetsNoRequests(t *testing.T) {
	s, _ := startPair(t, func(w *workers.Worker) { w.RetryAfter = "600" })
	n := s.Nodes[0]
	s.Fleet.SetBehaviour(t.Context(), "desk-1", workers.Refuse)
	s.Eventually("the endpoint has refused a request", func() bool {
		lookups(t, s, n, "until-refused")
		return strings.Contains(n.Log(), "endpoint asked for a pause")
	})
	s.Fleet.SetBehaviour(t.Context(), "desk-1", workers.Serve)
	assert.Equal(t, lookups(t, s, n, "after"), 0)
	s.KillWorker("desk-2")
	s.RemoveWorkerEntry("desk-2")
	s.Eventually("requests are refused at once", func() bool {
		resp, _, err := send(t, s.Request(n, http.MethodGet, "/lookup/x", "x"))
		assert.NilError(t, err)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return resp.StatusCode == http.StatusServiceUnavailable && err == nil && after > 500
	})
	assert.Equal(t, s.Fleet.Arrivals(t.Context(), "x"), 0)
}
