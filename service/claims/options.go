package claims

import "time"

// Options configures the claim shards of a node.
type Options struct {
	// Retention is how long a claim is kept.
	Retention time.Duration
	// WritesPerSecond limits the rate of writes of one shard to the key-value service.
	WritesPerSecond float64
	// CallTimeout bounds each call to the key-value service.
	CallTimeout time.Duration
}
