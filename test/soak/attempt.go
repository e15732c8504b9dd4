package soak

import "time"

// attempt records one request of a caller and the response.
type attempt struct {
	id, route, path, key string
	node                 int
	sentAt, endedAt      time.Time
	// status is 0 if no response arrived.
	status int
	// hasSignature is set if the response carries a worker's signature, echoesID if it carries the request's id.
	hasSignature, echoesID bool
	body                   string
	events                 []event
	// err holds the error that ended the response early; empty for a complete one.
	err string
	// abandoned is set if the caller closed the connection before the end of the response.
	abandoned bool
	// deadlineExceeded is set if the caller's deadline ended the attempt.
	deadlineExceeded bool
}

// complete reports whether the response arrived to its end as HTTP defines it.
func (a *attempt) complete() bool {
	return a.status != 0 && a.err == "" && !a.abandoned && !a.deadlineExceeded
}

// isStream reports whether the route answers with a stream.
func (a *attempt) isStream() bool { return a.route == routeNote || a.route == routeReply }

// runsAtMostOnce reports whether the route's requests must not run more than once.
func (a *attempt) runsAtMostOnce() bool { return a.route == routeNote || a.route == routeBooking }

// refusedAsNotRun reports whether the status promises that the request has not run and never will.
func (a *attempt) refusedAsNotRun() bool {
	switch a.status {
	case 408, 421, 429, 503:
		return true
	default:
		return false
	}
}
