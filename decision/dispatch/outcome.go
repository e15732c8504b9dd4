package dispatch

// Outcome is how a run on an endpoint ended.
type Outcome uint8

const (
	// Cancelled is the zero value: the end says nothing about the endpoint.
	Cancelled Outcome = iota
	// Succeeded runs ended with a whole answer.
	Succeeded
	// Failed runs were answered with a failure by the endpoint.
	Failed
	// Refused requests were rejected by the endpoint without running.
	Refused
	// Misdirected requests reached another process at the endpoint's address.
	Misdirected
	// Unreachable endpoints accepted no connection.
	Unreachable
	// Broken runs lost their connection or sent what is no answer.
	Broken
)
