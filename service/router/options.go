package router

import (
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Options configures a Router. Without Hub and Members, requests are placed only in the cells of this node.
type Options struct {
	DataCentre string
	Region     string
	Hub        *peer.Hub
	Members    *latest.Value[*membership.Table]
}
