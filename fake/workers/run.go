package workers

import "time"

// Run is the execution of one request at one worker.
type Run struct {
	Worker  string
	Service string
	Request string
	// Path is the path of the request, with its query.
	Path string
	// From is the number of the first event that this run produces.
	From int
	// Generation numbers the runs that start without a copy. A run that continues from a copy has the number of the run
	// that was copied.
	Generation int
	// Continued is set if the run continued from a copy.
	Continued bool
	// Workspace, Authorization and DeadlineMs are the request headers X-Tenant, Authorization and X-Deadline-Ms.
	Workspace     string
	Authorization string
	DeadlineMs    string
	Began         time.Time
	// Ended is set when the worker has stopped working on the run, at EndedAt.
	Ended   bool
	EndedAt time.Time

	// stop is closed when a final move stops the run.
	stop chan struct{}
}

// end records that the worker has stopped working on the run.
func (r *Run) end() {
	if !r.Ended {
		r.Ended, r.EndedAt = true, time.Now()
	}
}
