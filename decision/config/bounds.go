package config

import (
	"math"
	"time"
)

// Bounds of limits.
const (
	maxPriority    = 9
	maxCells       = 1024
	maxConcurrency = 100_000
	// maxQueueTimeout bounds the time for which a request may be queued; long catalogue drafts wait for minutes.
	maxQueueTimeout = 24 * time.Hour
)

// Bounds of lists and texts. They keep an object far below 1 MB, the limit of a value in the key-value service.
const (
	maxObjectsPerKind = 10_000
	maxListItems      = 128
	maxTextBytes      = 256
)

// validLimits reports whether all limits are finite numbers of at least 0.
func validLimits(limits ...float64) bool {
	for _, r := range limits {
		if math.IsNaN(r) || math.IsInf(r, 0) || r < 0 {
			return false
		}
	}
	return true
}
