package settings

import "time"

// Stop configures a graceful stop.
type Stop struct {
	// ReadinessDelay is the time from the first failing readiness check until new requests are refused.
	ReadinessDelay time.Duration `yaml:"readiness_delay"`
	// Timeout is the time after which running requests are aborted; 0 means that the node waits for all of them.
	Timeout time.Duration `yaml:"timeout"`
}
