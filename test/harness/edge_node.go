package harness

import (
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/settings"
)

// EdgeNode is a node process that runs against the fake of the users' platform.
type EdgeNode struct {
	*Process
	Settings settings.Edge
	// StoreLink connects this node to the store.
	StoreLink *Link
	// CallersLink connects callers to this node, PeersLink the other nodes.
	CallersLink *Link
	PeersLink   *Link
}

// Ready reports whether the node's readiness endpoint answers with 200.
func (n *EdgeNode) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.Settings.Listen.Readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
