package workers

// Behaviour is the way in which a worker answers requests.
type Behaviour uint8

const (
	// Serve runs every request.
	Serve Behaviour = iota
	// Refuse answers 503 with the header that says that the request was not run.
	Refuse
	// Fail runs every request and answers 500, signed by the worker. A request that names a copy runs whether there is one or not.
	Fail
	// Reset runs every request and closes the connection without an answer. An engine that ignores the close works on.
	Reset
	// Truncate runs every request and closes the connection in the middle of the answer.
	Truncate
	// WrongRequestID runs every request and answers with the id of another request.
	WrongRequestID
	// ResetEarly runs every request, answers without a length before it has read the body, and resets the connection after a part of the
	// answer.
	ResetEarly
	// InvalidStatus runs every request and answers with the status 600.
	InvalidStatus
	// InvalidFieldName runs every request and answers in chunks, with a blank in the name of the field that says so.
	InvalidFieldName
)
