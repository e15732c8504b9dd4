package workers

// Behaviour says how a worker answers.
type Behaviour uint8

const (
	// Serve runs every request.
	Serve Behaviour = iota
	// Refuse says of every request that it was not run.
	Refuse
	// Fail runs every request and answers with its own 500.
	Fail
	// Reset runs every request and closes the connection without an answer.
	Reset
	// Truncate runs every request and breaks its answer off.
	Truncate
	// Cross answers with the id of another request.
	Cross
)
