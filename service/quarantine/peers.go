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
	// Release calls Manager.Release on the home node.
	Release(ctx context.Context, address string, f quarantine.Fingerprint)
	// Broadcast sends marks that have changed on this node to all nodes, and returns once they have answered or ctx has ended.
	Broadcast(ctx context.Context, marks []quarantine.Mark)
	// Forward passes on marks that another node has sent and that have changed the table of this node. It must not block.
	Forward(marks []quarantine.Mark)
	// Repeat sends the marks with the most evidence again, for nodes that have missed them. It must not block.
	Repeat(marks []quarantine.Mark)
}
