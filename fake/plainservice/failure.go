package plainservice

// Failure is the way in which a call fails.
type Failure uint8

const (
	// FailNone serves the call.
	FailNone Failure = iota
	// FailBefore closes the connection without running the call.
	FailBefore
	// FailAfter runs the call and closes the connection instead of answering.
	FailAfter
	// FailStatus runs the call and answers 500.
	FailStatus
	// FailBusy refuses the call with the header for "busy", without running it.
	FailBusy
	// FailSilent runs the call and keeps the connection open without an answer until the request is cancelled.
	FailSilent
)
