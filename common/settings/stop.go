package settings

import "time"

// Stop configures a planned stop.
type Stop struct {
	// ReadinessDelay is the time between failing the readiness check and refusing new work.
	ReadinessDelay time.Duration `yaml:"readiness_delay"`
	// Timeout cuts running requests; 0 waits for all of them.
	Timeout time.Duration `yaml:"timeout"`
}
