package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/test/harness"
)

// lookupStatus sends a lookup and returns the response status.
func lookupStatus(t *testing.T, s *harness.EdgeSite, n *harness.EdgeNode, id string) int {
	t.Helper()
	resp, _, err := send(t, s.Request(n, http.MethodGet, "/lookup/1", id))
	assert.NilError(t, err)
	return resp.StatusCode
}

// Guards against serving a key after its revocation.
func TestRevokedKeyIsRefused(t *testing.T) {
	s, n := startPlainSite(t)
	assert.Equal(t, lookupStatus(t, s, n, "r1"), http.StatusOK)
	s.SetAPIKeys("another-key")
	s.Eventually("the key is refused", func() bool { return lookupStatus(t, s, n, "r2") == http.StatusUnauthorized })
}

// Guards against a node that accepts every key once the last workspace or its last key was removed.
func TestNoKeyIsAcceptedWithoutWorkspaces(t *testing.T) {
	for name, c := range map[string]harness.EdgeConfiguration{"no workspace": {NoTenants: true}, "no key": {}} {
		t.Run(name, func(t *testing.T) {
			s, n := startPlainSite(t)
			assert.Equal(t, lookupStatus(t, s, n, "r1"), http.StatusOK)
			s.PutConfiguration(c)
			s.Eventually("the key is refused", func() bool { return lookupStatus(t, s, n, "r2") == http.StatusUnauthorized })
			for i, key := range []string{"", "key-that-never-existed", harness.EdgeAPIKey} {
				id := fmt.Sprint("later-", i)
				req := s.Request(n, http.MethodGet, "/lookup/1", id)
				harness.SetEdgeAPIKey(req, key)
				resp, _, err := send(t, req)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
				assert.Equal(t, s.Fleet.Arrivals(t.Context(), id), 0)
			}
		})
	}
}

// Guards against a node that keeps serving keys while it cannot reach the store and so cannot learn of a revocation.
func TestNodeWithoutTheStoreStopsServingKeys(t *testing.T) {
	s, n := startPlainSite(t)
	n.StoreLink.Stall()
	s.Eventually("keyed requests are refused as not run", func() bool {
		return lookupStatus(t, s, n, "r1") == http.StatusServiceUnavailable
	})
	assert.Assert(t, !n.Ready())
	public := s.Request(n, http.MethodGet, "/public/1", "r2")
	resp, _, err := send(t, public)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "a request to a public route needs no recent configuration")
	n.StoreLink.Heal()
	s.Eventually("keyed requests are served again", func() bool { return lookupStatus(t, s, n, "r3") == http.StatusOK })
}

// Guards against a node that misses configuration changes because it cannot reach the store, although another node can.
func TestNodeWithoutTheStoreGetsChangesFromOtherNodes(t *testing.T) {
	s := harness.NewEdgeSite(t, 2)
	s.AddWorker("desk-1", false)
	s.Start()
	cut := s.Nodes[1]
	s.Eventually("the nodes know each other", func() bool { return strings.Contains(cut.Log(), `"others":1`) })
	cut.StoreLink.Cut()
	s.SetAPIKeys("another-key")
	s.Eventually("the change arrives through the other node", func() bool { return lookupStatus(t, s, cut, "r1") == http.StatusUnauthorized })
	s.SetAPIKeys(harness.EdgeAPIKey)
	s.Eventually("the next change arrives through the other node", func() bool { return lookupStatus(t, s, cut, "r2") == http.StatusOK })
}

// Guards against a node that keeps its configuration while it cannot reach the store, because the other nodes have been restarted and do
// not know which entries were deleted before.
func TestNodeWithoutTheStoreGetsChangesFromRestartedNodes(t *testing.T) {
	s := harness.NewEdgeSite(t, 2)
	s.AddWorker("desk-1", false)
	s.Start()
	restarted, cut := s.Nodes[0], s.Nodes[1]
	s.Eventually("the nodes know each other", func() bool { return strings.Contains(cut.Log(), `"others":1`) })
	cut.StoreLink.Cut()
	restarted.Kill()
	s.SetAPIKeys("another-key")
	restarted.Start()
	s.Eventually("the change arrives through the restarted node", func() bool { return lookupStatus(t, s, cut, "r1") == http.StatusUnauthorized })
}

// Guards against invalid store entries of another writer that replace a valid configuration or remove an endpoint.
func TestUnreadableEntriesAreIgnored(t *testing.T) {
	s, n := startPlainSite(t)
	s.PutRaw("op/config", []byte("{not json"))
	s.PutRaw("servers/strange", []byte(`{"service":"desk","address":7}`))
	s.Eventually("both entries are logged as not usable", func() bool { return strings.Count(n.Log(), "entry not usable") >= 2 })
	assert.Equal(t, lookupStatus(t, s, n, "r1"), http.StatusOK)
}

// assertStreamSurvivesStop reads a stream whose onEvent stops the node, and checks that the stream is complete and the node exits.
func assertStreamSurvivesStop(t *testing.T, s *harness.EdgeSite, n *harness.EdgeNode, onEvent func(count int)) {
	t.Helper()
	ids, err := readEvents(t, s.Request(n, http.MethodPost, "/note/1", "r1"), onEvent)
	assert.NilError(t, err)
	assertComplete(t, ids, 60)
	assert.NilError(t, n.Wait(harness.StopTimeout))
}

// Guards against a process that exits on SIGHUP, and against a planned stop that interrupts requests.
func TestSignalsInterruptNoRequest(t *testing.T) {
	s := harness.NewEdgeSite(t, 1)
	s.AddWorker("engine-1", true)
	s.Start()
	n := s.Nodes[0]
	assertStreamSurvivesStop(t, s, n, func(count int) {
		switch count {
		case 5:
			n.HangUp()
		case 10:
			n.Terminate()
		}
	})
	assert.Assert(t, strings.Contains(n.Log(), "settings reloaded"))
}

// Guards against a stop that is cut short by a second SIGTERM or a reload, and against requests that are cut or refused because
// the balancer still sends them to a node that has just begun to stop.
func TestRepeatedSignalsDuringAStopInterruptNoRequest(t *testing.T) {
	s := harness.NewEdgeSite(t, 1)
	s.AddWorker("engine-1", true)
	s.AddWorker("desk-1", false)
	s.Start()
	n := s.Nodes[0]
	assertStreamSurvivesStop(t, s, n, func(count int) {
		switch count {
		case 5, 15:
			n.Terminate()
		case 10:
			n.HangUp()
		case 6, 11, 16, 30:
			assert.Equal(t, lookupStatus(t, s, n, fmt.Sprint("during-", count)), http.StatusOK)
		}
	})
}

// Guards against a stop that waits for the store, or cuts requests, while the store does not answer.
func TestStopWithoutTheStoreInterruptsNoRequest(t *testing.T) {
	s := harness.NewEdgeSite(t, 1)
	s.AddWorker("engine-1", true)
	s.Start()
	n := s.Nodes[0]
	assertStreamSurvivesStop(t, s, n, func(count int) {
		if count == 5 {
			n.StoreLink.Stall()
			n.Terminate()
		}
	})
}

// Guards against nodes that cannot serve after all of them were killed at the same time, as in a power failure.
func TestNodesServeAfterSimultaneousKill(t *testing.T) {
	s := harness.NewEdgeSite(t, 2)
	s.AddWorker("desk-1", false)
	s.Start()
	for _, n := range s.Nodes {
		n.Kill()
	}
	s.Start()
	for _, n := range s.Nodes {
		assert.Equal(t, lookupStatus(t, s, n, "r-"+n.Settings.Node.ID), http.StatusOK)
	}
}

// Guards against a node that applies a change only after its stalled call to the store has timed out.
func TestChangeArrivesWhileTheStoreStalls(t *testing.T) {
	s := harness.NewEdgeSite(t, 2)
	s.AddWorker("desk-1", false)
	s.Start()
	stalled := s.Nodes[1]
	s.Eventually("the nodes know each other", func() bool { return strings.Contains(stalled.Log(), `"others":1`) })
	stalled.StoreLink.Stall()
	s.SetAPIKeys("another-key")
	s.Eventually("the change arrives through the other node", func() bool { return lookupStatus(t, s, stalled, "r1") == http.StatusUnauthorized })
	assert.Assert(t, !strings.Contains(stalled.Log(), "store lost"), "the change arrived only after the call to the store had timed out")
}

// Guards against a node that ends or stops following the store because another writer has left an odd entry among the endpoints.
func TestOddEntriesDoNotStopTheNode(t *testing.T) {
	s, n := startPlainSite(t)
	for i, value := range []string{
		`{"service":"desk","address":"127.0.0.1:99999","zone":"zone-1","slots":8,"state":"ready","coldLeftMs":0}`,
		`{"service":"desk","address":"127.0.0.1:1","zone":"zone-1","slots":9223372036854775807,"state":"ready","coldLeftMs":1e300}`,
		`{"service":"desk","address":"127.0.0.1:1","zone":"zone-1","slots":1e400,"state":"ready","coldLeftMs":0}`,
		`{"service":"desk","x":` + strings.Repeat(`{"x":`, 100_000) + "1" + strings.Repeat("}", 100_001),
		strings.Repeat("[", 700_000),
		"\xff\xfe\x00",
	} {
		s.PutRaw(fmt.Sprintf("servers/odd-%d", i), []byte(value))
	}
	s.AddWorker("desk-2", false)
	s.RemoveWorkerEntry("desk-1")
	for i := range 6 {
		s.Eventually("requests run on the endpoint that was added last", func() bool {
			resp, body, err := send(t, s.Request(n, http.MethodGet, fmt.Sprintf("/lookup/%d", i), fmt.Sprintf("r%d", i)))
			assert.NilError(t, err)
			return resp.StatusCode == http.StatusOK && strings.HasSuffix(body, "by desk-2")
		})
	}
	assert.Equal(t, strings.Count(n.Log(), `"msg":"node: node started"`), 1)
	assert.Equal(t, strings.Count(n.Log(), `"msg":"config: entry not usable"`), 6)
}
