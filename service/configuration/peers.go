package configuration

import (
	"context"

	"azuredyke.dev/azuredyke/common/latest"
)

// Peers is the connection to the other nodes. Implementations are safe for concurrent use.
type Peers interface {
	// Members holds the other nodes that are alive.
	Members() *latest.Value[[]Member]
	// Pull requests a peer's configuration if it is newer than a revision. The peer calls its Manager.AnswerPull.
	Pull(ctx context.Context, address string, revision int64) (PullReply, error)
	// Notify sends a notice to a peer, which calls its Distributor.ReceiveNotice. It does not block, and the notice may be lost.
	Notify(address string, n Notice)
}
