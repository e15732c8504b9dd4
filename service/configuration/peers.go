package configuration

import (
	"context"

	"azuredyke.dev/azuredyke/common/latest"
)

// Peers reaches the other nodes. Implementations are safe for concurrent use.
type Peers interface {
	// Members holds the other nodes that are alive, without this node.
	Members() *latest.Value[[]Member]
	// Pull asks a peer for what it has beyond a revision. The peer answers with Keeper.Pull.
	Pull(ctx context.Context, address string, have int64) (PullReply, error)
	// Notify hands a notice to a peer's Distributor.Notice. It returns at once, and the notice may be lost.
	Notify(address string, n Notice)
}
