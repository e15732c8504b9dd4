package dispatch

// Outcome is how a run on an endpoint ended.
type Outcome uint8

const (
	// Cancelled is the zero value: the run ended for a reason unrelated to the endpoint.
	Cancelled Outcome = iota
	// Succeeded means that the run ended with a complete answer.
	Succeeded
	// Failed means that the endpoint answered with a failure.
	Failed
	// Refused means that the endpoint rejected the request without running it.
	Refused
	// Misdirected means that the request reached another process at the endpoint's address.
	Misdirected
	// Unreachable means that the endpoint accepted no connection.
	Unreachable
	// NotListening means that no process listens at the endpoint's address: the process that did has ended.
	NotListening
	// Broken means that the connection was lost or that the endpoint sent an invalid answer.
	Broken
)
