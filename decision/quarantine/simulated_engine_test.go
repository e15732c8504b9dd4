package quarantine

import "time"

// simulatedEngine is an engine of the simulation.
type simulatedEngine struct {
	downUntil time.Time
	// waiting holds the requests without an event yet.
	waiting map[*simulatedRequest]bool
}
