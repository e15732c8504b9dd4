package workers

import "time"

// Arrival is one request that reached a worker.
type Arrival struct {
	Worker  string
	Service string
	// Version is the version of the worker.
	Version string
	Request string
	At      time.Time
	// Continued is set if the request asks to continue from a copy of its run's memory.
	Continued bool
	// AskedForPause is set if the worker refused the request and said that it wants no more for some time.
	AskedForPause bool
	// SaidLimit is set if the worker named a limit for the requests of all nodes in its answer.
	SaidLimit bool
	// SaidLeaving is set if the worker said in its answer that it is leaving.
	SaidLeaving bool
}
