package gateway

import "azuredyke.dev/azuredyke/transport/engine"

// ending says how a connection to an endpoint ended. Exactly one field is set.
type ending struct {
	// whole is set when the answer is complete.
	whole bool
	// callerGone is set when the caller hung up.
	callerGone bool
	// failure is set when the connection broke or stalled, or what it carried cannot be used.
	failure *engine.Failure
}
