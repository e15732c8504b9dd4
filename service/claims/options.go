package claims

import "time"

// Options configures the claim shards of a node.
type Options struct {
	// Retention is how long a claim is kept.
	Retention time.Duration
	// WritesPerSecond bounds the writes of one shard.
	WritesPerSecond float64
	// CallTimeout bounds each call to the key-value service.
	CallTimeout time.Duration
}
