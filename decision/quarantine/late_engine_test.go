package quarantine

import "time"

// lateEngine is an engine in the simulation of late crashes.
type lateEngine struct {
	downUntil time.Time
	streams   []*lateStream
}
