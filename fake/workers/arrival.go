package workers

import "time"

// Arrival is one request that reached a worker.
type Arrival struct {
	Worker  string
	Service string
	Request string
	At      time.Time
	// Continued is set when the request was to go on from a copy of its run's memory.
	Continued bool
}
