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
	// maxQueueTimeout bounds how long a request may be held; long catalogue drafts wait minutes.
	maxQueueTimeout = 24 * time.Hour
)

// Bounds of lists and texts. An object stays far below the 1 MB of a value in the key-value service.
const (
	maxObjectsPerKind = 10_000
	maxListItems      = 128
	maxTextBytes      = 256
)

// validRate reports whether a limit is a number from 0 on.
func validRate(rates ...float64) bool {
	for _, r := range rates {
		if math.IsNaN(r) || math.IsInf(r, 0) || r < 0 {
			return false
		}
	}
	return true
}
