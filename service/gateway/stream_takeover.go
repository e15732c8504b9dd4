package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/common/message"
)

// StreamTakeover takes over the detached sessions of all nodes.
type StreamTakeover interface {
	// TakeOver ends the detached session of a generation and returns its grant. The session is at the node for whose id the
	// function returns true. TakeOver returns false when the session has ended or the node does not answer.
	TakeOver(ctx context.Context, node func(id string) bool, generation string) (message.Grant, bool)
}
