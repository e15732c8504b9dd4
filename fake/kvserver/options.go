package kvserver

import "time"

// Options configures a Server. Zero values stand for the defaults in parentheses.
type Options struct {
	// WritesPerSecond bounds transactions that write, puts, deletions and lease calls (400).
	WritesPerSecond float64
	// ReadsPerSecond bounds ranges (2000). Each open watch takes one call per second of it.
	ReadsPerSecond float64
	// MaxWait is the longest time that a call beyond the rates waits; then it is refused (1 s).
	MaxWait time.Duration
	// MaxRequestBytes bounds a request (1 MiB plus 512 KiB, the default of the published server).
	MaxRequestBytes int
	// MaxOperations bounds the operations of a transaction (128, the default of the published server).
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
