package quarantine

import (
	"context"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// Peers reaches the keepers of the other nodes.
type Peers interface {
	// Home returns the peer address of the home node of a fingerprint; remote is false when it is this node.
	Home(f quarantine.Fingerprint) (address string, remote bool)
	// Reserve asks the home node for the standing of a marked request.
	Reserve(ctx context.Context, address string, m quarantine.Mark) (quarantine.Standing, error)
	// Finished tells the home node how a reserved run ended.
	Finished(ctx context.Context, address string, f quarantine.Fingerprint, completed bool)
	// Broadcast tells all nodes about a mark and returns once they have answered or ctx has ended.
	Broadcast(ctx context.Context, m quarantine.Mark)
}
