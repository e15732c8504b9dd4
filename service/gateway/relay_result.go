package gateway

import "azuredyke.dev/azuredyke/transport/engine"

// relayResult describes how the relay of one connection ended. Exactly one field is set.
type relayResult struct {
	// complete is set when the answer is complete.
	complete bool
	// callerGone is set when the caller hung up.
	callerGone bool
	// failure is set when the connection broke or stalled, or when its data is invalid.
	failure *engine.Failure
}
