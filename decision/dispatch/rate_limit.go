package dispatch

import "time"

// rateLimit is the limit that one incarnation of an endpoint has stated for the requests of all nodes together.
type rateLimit struct {
	limited bool
	rate    float64
	// heardAt is the time at which rate was last heard.
	heardAt time.Time
	// refusedUntil is the time until which the owner of the endpoint's budget grants this node no request.
	refusedUntil time.Time
}

// record records a rate that was stated in the answer to a request that was sent at sentAt, and reports whether that changed the limit.
// Answers overtake each other, so a higher rate counts only if its request was sent after the present rate was heard.
func (l *rateLimit) record(now, sentAt time.Time, rate float64) bool {
	if l.limited && rate > l.rate && !sentAt.After(l.heardAt) {
		return false
	}
	changed := !l.limited || rate != l.rate
	l.limited, l.rate, l.heardAt = true, rate, now
	return changed
}

// end ends the limit after an answer that states none, unless its request was sent before the limit was heard.
func (l *rateLimit) end(sentAt time.Time) bool {
	if !l.limited || !sentAt.After(l.heardAt) {
		return false
	}
	*l = rateLimit{}
	return true
}

// isRefused reports whether the endpoint gets no requests from this node now because of its limit.
func (l *rateLimit) isRefused(now time.Time) bool { return l.limited && now.Before(l.refusedUntil) }
