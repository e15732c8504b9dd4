package settings

import "time"

// Claims configures the records of requests that must not be repeated.
type Claims struct {
	// Retention is the time for which a claim is stored.
	Retention time.Duration `yaml:"retention"`
	// WritesPerSecond bounds the write rate of one claim shard.
	WritesPerSecond float64 `yaml:"writes_per_second"`
	// Timeout bounds the time that a request waits for its claim.
	Timeout time.Duration `yaml:"timeout"`
}
