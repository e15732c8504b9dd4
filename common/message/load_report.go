package message

import "time"

// LoadReport is the load that an endpoint reports. It may be out of date.
type LoadReport struct {
	Endpoint string
	// Incarnation changes when the endpoint's process restarts.
	Incarnation string
	// Age is the age of the values when the report was received.
	Age     time.Duration
	Running int
	Waiting int
	// CompletedTotal counts the completed generations of this incarnation.
	CompletedTotal int64
	// PreemptionsTotal counts the preemptions of this incarnation.
	PreemptionsTotal int64
	BlocksUsed       int64
	BlocksTotal      int64
	// BlockTokens is the number of tokens in one memory block.
	BlockTokens int64
	// StepTime is the duration of the last decode step.
	StepTime time.Duration
	// Leaving is set when the endpoint is shutting down.
	Leaving bool
	// Models lists the loaded models.
	Models []string
}
