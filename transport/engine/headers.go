package engine

// Headers of the endpoint protocol.
const (
	// HeaderRequestID identifies the generation for resume and cancel.
	HeaderRequestID = "X-Request-Id"
	// HeaderFence carries the fencing token of the cell's owner.
	HeaderFence = "Azuredyke-Fence"
	// HeaderPriority carries the priority, from 0 to 9. Higher priorities are served first.
	HeaderPriority = "Azuredyke-Priority"
	// HeaderRefused is set by an endpoint that did not run the request; its value is one of the Refused constants.
	HeaderRefused = "Azuredyke-Refused"
	// HeaderLastEventID carries the number of the last received part. The endpoint sends the parts after it.
	HeaderLastEventID = "Last-Event-ID"
)

// Values of HeaderRefused.
const (
	RefusedBusy       = "busy"
	RefusedLeaving    = "leaving"
	RefusedStaleFence = "stale-fence"
)
