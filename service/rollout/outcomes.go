package rollout

import "azuredyke.dev/azuredyke/decision/rollout"

// Outcomes counts what becomes of requests under an order. A Manager implements it. Its methods don't block.
type Outcomes interface {
	// RecordSend counts a request that was sent to an endpoint.
	RecordSend(service string, orderRevision int64, g rollout.Group, route string)
	// RecordFirstEvent counts the time to the first event of a request when the event arrives, once for a request.
	RecordFirstEvent(service string, orderRevision int64, s rollout.Sample)
	// RecordInterval counts the mean time between the events of a request that has not ended, at most once for a request.
	RecordInterval(service string, orderRevision int64, s rollout.Sample)
	// RecordUnevaluated counts that a sent request has ended without a response for a reason unrelated to the version.
	RecordUnevaluated(service string, orderRevision int64, g rollout.Group, route string)
	// RecordSample counts the outcome of a request.
	RecordSample(service string, orderRevision int64, s rollout.Sample)
}
