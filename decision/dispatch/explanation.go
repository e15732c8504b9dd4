package dispatch

import "time"

// Explanation says where a request would go and why. It is the result of one play of the choice, which draws at random.
type Explanation struct {
	// Nodes is the number of nodes that share the limits. LoadAge is the age of the others' load, and LoadKnown is not set if none was
	// reported.
	Nodes     int
	LoadAge   time.Duration
	LoadKnown bool
	// OrderedAdmission and BySpeed report which features take part in the choice.
	OrderedAdmission, BySpeed bool
	// Waiting is the number of requests that wait in order at this node.
	Waiting   int
	Endpoints []EndpointExplanation
	// Chosen is the id of the endpoint; empty if Refusal says why there is none. Waits is set if the request would wait then.
	Chosen  string
	Refusal Refusal
	Waits   bool
}
