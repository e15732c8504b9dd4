package rollout

import "azuredyke.dev/azuredyke/decision/rollout"

// Outcomes counts what becomes of requests under an order. A Manager implements it. Its methods don't block.
type Outcomes interface {
	// RecordSend counts a request that was sent to an endpoint.
	RecordSend(service string, orderRevision int64, g rollout.Group, route string)
	// RecordSample counts the outcome of a request.
	RecordSample(service string, orderRevision int64, s rollout.Sample)
}
