package workers

// Run is what became of one request at one worker.
type Run struct {
	Worker  string
	Request string
	// From is the number of the first event that was made here.
	From int
	// Workspace, Authorization and Instance are the headers that came.
	Workspace     string
	Authorization string
	DeadlineMs    string
	// Ended is set once the worker works on it no more.
	Ended bool
}
