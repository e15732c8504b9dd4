package edge

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/test/harness"
)

// Guards against a large configuration that never reaches a node with a slow link, because each reply with it is ended and sent again.
func TestLargeConfigurationArrivesOverSlowLinks(t *testing.T) {
	const (
		addedRoutes = 2800
		// linkKilobytes is the rate of each link. The whole configuration takes two seconds on one.
		linkKilobytes = 300
	)
	s := harness.NewEdgeSite(t, 3, func(e *settings.Edge) { e.Node.DataCentre = "zone-1" })
	s.AddWorker("desk-1", false)
	s.Start()
	node := s.Nodes[2]
	s.Eventually("the node knows its relays", func() bool { return strings.Contains(node.Log(), `"others":2`) })
	for _, link := range []*harness.Link{s.Nodes[0].PeersLink, s.Nodes[1].PeersLink, node.StoreLink} {
		link.LimitBandwidth(linkKilobytes)
	}
	routes := make([]string, addedRoutes)
	for i := range routes {
		hash := fnv.New64a()
		_, _ = fmt.Fprint(hash, i)
		routes[i] = fmt.Sprintf("r-%x", hash.Sum64())
	}
	s.PutConfiguration(harness.EdgeConfiguration{APIKeys: []string{harness.EdgeAPIKey}, ColdRate: 30, AddedRoutes: routes})
	s.Eventually("an added route is served", func() bool {
		resp, _, err := send(t, s.Request(node, http.MethodGet, "/"+routes[addedRoutes-1]+"/1", "r1"))
		assert.NilError(t, err)
		return resp.StatusCode == http.StatusOK
	})
}
