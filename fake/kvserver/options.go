package kvserver

import "time"

// Options configures a Server. Zero values stand for the defaults in parentheses.
type Options struct {
	// WritesPerSecond limits the rate of writing transactions, puts, deletions and lease calls (400).
	WritesPerSecond float64
	// ReadsPerSecond limits the rate of ranges, read-only transactions and new watches (2000). Each open watch reduces it
	// by one call per second.
	ReadsPerSecond float64
	// MaxWait bounds the delay of a call by the rate limits (1 s). A call that would wait longer is refused.
	MaxWait time.Duration
	// MaxRequestBytes bounds the size of a request (1 MiB plus 512 KiB, the default of etcd).
	MaxRequestBytes int
	// MaxOperations bounds the operations of a transaction (128, the default of etcd).
	MaxOperations int
}

func (o Options) withDefaults() Options {
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = 400
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = 2000
	}
	if o.MaxWait == 0 {
		o.MaxWait = time.Second
	}
	if o.MaxRequestBytes == 0 {
		o.MaxRequestBytes = 1536 << 10
	}
	if o.MaxOperations == 0 {
		o.MaxOperations = 128
	}
	return o
}
