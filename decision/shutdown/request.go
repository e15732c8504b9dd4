package shutdown

import "time"

// Request is what is known about the end of a request's answer.
type Request struct {
	// LatestEnd is the end of the time that the caller and the route allow.
	LatestEnd time.Time
	// ExpectedEnd is an estimate that many answers exceed.
	ExpectedEnd time.Time
	// WholeAnswer is set if the answer is no stream. The caller then receives it once it is complete, unless it is too large to be
	// buffered.
	WholeAnswer bool
	// Repeatable is set if the caller may send the request again after a failure.
	Repeatable bool
}

// IsAccepted reports whether a node that ends its requests at cutAt sends the request to an endpoint.
//
// The end of an answer is certain only by LatestEnd. The estimate is enough if the caller can repeat the request and has received
// none of an answer that is late: it then gets an error instead of a cut answer. All other requests are refused as not run, since
// another node can serve them to their end.
func (r Request) IsAccepted(cutAt time.Time) bool {
	if r.WholeAnswer && r.Repeatable && !r.ExpectedEnd.After(cutAt) {
		return true
	}
	return !r.LatestEnd.After(cutAt)
}
