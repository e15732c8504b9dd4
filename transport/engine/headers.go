package engine

// Headers of the endpoint protocol.
const (
	// HeaderRequestID names the generation, for resume and cancel.
	HeaderRequestID = "X-Request-Id"
	// HeaderFence carries the fencing token of the cell's owner.
	HeaderFence = "Azuredyke-Fence"
	// HeaderPriority carries the priority, from 0 to 9; higher is served first.
	HeaderPriority = "Azuredyke-Priority"
	// HeaderRefused is set by an endpoint that did not run the request; its value is one of the Refused constants.
	HeaderRefused = "Azuredyke-Refused"
	// HeaderLastEventID asks for the parts after the given number.
	HeaderLastEventID = "Last-Event-ID"
)

// Values of HeaderRefused.
const (
	RefusedBusy       = "busy"
	RefusedLeaving    = "leaving"
	RefusedStaleFence = "stale-fence"
)
