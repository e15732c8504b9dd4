package soak

import "time"

// attempt is one request of a caller and what it got.
type attempt struct {
	id, route, path, key string
	node                 int
	sentAt, endedAt      time.Time
	// status is 0 when there was no answer.
	status int
	// signed is set when the answer bears a worker's signature, echoed when it bears the request's id.
	signed, echoed bool
	body           string
	events         []event
	// err is why the answer has no end; empty for a whole one.
	err string
	// left is set when the caller closed its connection before the end.
	left bool
	// overdue is set when the caller's own deadline ended the attempt.
	overdue bool
}

// whole reports whether the answer ended as HTTP says that it must.
func (a *attempt) whole() bool { return a.status != 0 && a.err == "" && !a.left && !a.overdue }

// streams reports whether the answer is a stream.
func (a *attempt) streams() bool { return a.route == routeNote || a.route == routeReply }

// runsOnce reports whether the request may run only once.
func (a *attempt) runsOnce() bool { return a.route == routeNote || a.route == routeBooking }

// refusedAsNotRun reports whether the status promises that the request has not run and never will.
func (a *attempt) refusedAsNotRun() bool {
	switch a.status {
	case 408, 421, 429, 503:
		return true
	default:
		return false
	}
}
