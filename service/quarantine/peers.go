package quarantine

import (
	"context"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// Peers calls the Managers of the other nodes.
type Peers interface {
	// HomeNode returns the peer address of the home node of a fingerprint; remote is false if this node is the home node.
	HomeNode(f quarantine.Fingerprint) (address string, remote bool)
	// Reserve calls Manager.Reserve on the home node.
	Reserve(ctx context.Context, address string, m quarantine.Mark) (quarantine.Standing, error)
	// ReportRunEnd reports the end of a reserved run to the home node.
	ReportRunEnd(ctx context.Context, address string, f quarantine.Fingerprint, completed bool)
	// Broadcast sends a mark to all nodes and returns once they have answered or ctx has ended.
	Broadcast(ctx context.Context, m quarantine.Mark)
}
