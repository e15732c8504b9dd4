package edge

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/test/harness"
)

// status sends a lookup and returns its status.
func status(t *testing.T, s *harness.EdgeSite, n *harness.EdgeNode, id string) int {
	t.Helper()
	resp, _, err := send(t, s.Request(n, http.MethodGet, "/lookup/1", id))
	assert.NilError(t, err)
	return resp.StatusCode
}

// Guards against a key that is served after it was taken away.
func TestRevokedKeyIsRefused(t *testing.T) {
	s, n := one(t)
	assert.Equal(t, status(t, s, n, "r1"), http.StatusOK)
	s.SetAPIKeys("another-key")
	s.Eventually("the key is refused", func() bool { return status(t, s, n, "r2") == http.StatusUnauthorized })
}

// Guards against a node that serves keys although it cannot know whether they were taken away.
func TestNodeWithoutTheStoreStopsServingKeys(t *testing.T) {
	s, n := one(t)
	n.StoreLink.Stall()
	s.Eventually("keyed requests are refused as not run", func() bool {
		return status(t, s, n, "r1") == http.StatusServiceUnavailable
	})
	assert.Assert(t, !n.Ready())
	public := s.Request(n, http.MethodGet, "/public/1", "r2")
	resp, _, err := send(t, public)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "requests without a key need no fresh configuration")
	n.StoreLink.Heal()
	s.Eventually("keyed requests are served again", func() bool { return status(t, s, n, "r3") == http.StatusOK })
}

// Guards against a node that goes blind because the store turns it away while it serves others.
func TestOtherNodesStandInForTheStore(t *testing.T) {
	s := harness.NewEdgeSite(t, 2)
	s.AddWorker("desk-1", false)
	s.Start()
	cut := s.Nodes[1]
	s.Eventually("the nodes know each other", func() bool { return strings.Contains(cut.Log(), `"others":1`) })
	cut.StoreLink.Cut()
	s.SetAPIKeys("another-key")
	s.Eventually("the change arrives over the other node", func() bool { return status(t, s, cut, "r1") == http.StatusUnauthorized })
	s.SetAPIKeys(harness.EdgeAPIKey)
	s.Eventually("and the next one", func() bool { return status(t, s, cut, "r2") == http.StatusOK })
}

// Guards against entries of another writer that take a good configuration or an endpoint away.
func TestUnreadableEntriesAreIgnored(t *testing.T) {
	s, n := one(t)
	s.PutRaw("op/config", []byte("{not json"))
	s.PutRaw("servers/strange", []byte(`{"service":"desk","address":7}`))
	s.Eventually("both are logged", func() bool { return strings.Count(n.Log(), "entry not usable") >= 2 })
	assert.Equal(t, status(t, s, n, "r1"), http.StatusOK)
}

// Guards against a process that SIGHUP ends, and against requests that a planned stop cuts.
func TestSignalsCutNoRequest(t *testing.T) {
	s := harness.NewEdgeSite(t, 1)
	s.AddWorker("engine-1", true)
	s.Start()
	n := s.Nodes[0]
	ids, err := readEvents(t, s.Request(n, http.MethodPost, "/note/1", "r1"), func(count int) {
		switch count {
		case 5:
			n.HangUp()
		case 10:
			n.Terminate()
		}
	})
	assert.NilError(t, err)
	assertWhole(t, ids, 60)
	assert.NilError(t, n.Wait(harness.StopTimeout))
	assert.Assert(t, strings.Contains(n.Log(), "settings reloaded"))
}

// Guards against a node that loses its way when all of them lose power at once.
func TestNodesComeBackTogether(t *testing.T) {
	s := harness.NewEdgeSite(t, 2)
	s.AddWorker("desk-1", false)
	s.Start()
	for _, n := range s.Nodes {
		n.Kill()
	}
	s.Start()
	for _, n := range s.Nodes {
		assert.Equal(t, status(t, s, n, "r-"+n.Settings.Node.ID), http.StatusOK)
	}
}

// Guards against a node that learns of a change only when its silent call to the store has timed out.
func TestChangeArrivesWhileTheStoreIsSilent(t *testing.T) {
	s := harness.NewEdgeSite(t, 2)
	s.AddWorker("desk-1", false)
	s.Start()
	silent := s.Nodes[1]
	s.Eventually("the nodes know each other", func() bool { return strings.Contains(silent.Log(), `"others":1`) })
	silent.StoreLink.Stall()
	s.SetAPIKeys("another-key")
	s.Eventually("the change arrives over the other node", func() bool { return status(t, s, silent, "r1") == http.StatusUnauthorized })
	assert.Assert(t, !strings.Contains(silent.Log(), "store lost"), "the change came after the timeout of the call")
}
