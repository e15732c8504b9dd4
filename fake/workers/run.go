package workers

import "time"

// Run is what became of one request at one worker.
type Run struct {
	Worker  string
	Service string
	Request string
	// Path is the one that came, with its query.
	Path string
	// From is the number of the first event that was made here.
	From int
	// Generation numbers the fresh starts of all requests. A run that goes on from a copy has that of its first part.
	Generation int
	// Continued is set when the run went on from a copy.
	Continued bool
	// Workspace, Authorization and Instance are the headers that came.
	Workspace     string
	Authorization string
	DeadlineMs    string
	Began         time.Time
	// Ended is set once the worker works on it no more, EndedAt says since when.
	Ended   bool
	EndedAt time.Time
}
