package router

import (
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/transport/peer"
)

// Options says where the node stands and how it reaches other nodes. Without Hub and Members, only the cells of this node
// are asked.
type Options struct {
	DataCentre string
	Region     string
	Hub        *peer.Hub
	Members    *latest.Value[*membership.Table]
}
