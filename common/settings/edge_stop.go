package settings

import "time"

// EdgeStop configures a graceful stop.
type EdgeStop struct {
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration `yaml:"grace"`
}
