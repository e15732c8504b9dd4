package catalog

import "time"

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run in one batch.
	Slots int
	// Capacity is the memory of one engine in tokens.
	Capacity int
	// BytesPerToken is the memory of one token in bytes.
	BytesPerToken int
	// LinkMbps is the bandwidth between engines in Mbit/s.
	LinkMbps float64
	// Moves and Backups say which transfers of memory the engines support.
	Moves   bool
	Backups bool
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// CopyTTL is how long an unused copy of a run's memory is kept.
	CopyTTL time.Duration
}
