package harness

import (
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/settings"
)

// EdgeNode is one process of the node that runs on the users' platform.
type EdgeNode struct {
	*Process
	Settings settings.Edge
	// Store is the path of this node to the store.
	Store *Link
	// Callers is a path of callers to this node, Peers that of the other nodes.
	Callers *Link
	Peers   *Link
}

// Ready reports whether the node takes new connections.
func (n *EdgeNode) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.Settings.Listen.Readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
