package plainservice

// Failure says how a call fails.
type Failure uint8

const (
	// FailNone serves the call.
	FailNone Failure = iota
	// FailBefore breaks the connection without running the call.
	FailBefore
	// FailAfter runs the call and breaks the connection instead of answering.
	FailAfter
	// FailStatus runs the call and answers 500.
	FailStatus
	// FailBusy refuses the call with the header for "busy", without running it.
	FailBusy
	// FailSilent runs the call and answers nothing until the caller gives up.
	FailSilent
)
