package settings

import "time"

// Claims configures the record of requests that may not be repeated.
type Claims struct {
	// Retention is how long a claim is kept.
	Retention time.Duration `yaml:"retention"`
	// WritesPerSecond bounds the writes of one claim shard.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	// Timeout is the longest time that a caller waits for a claim.
	Timeout time.Duration `yaml:"timeout"`
}
