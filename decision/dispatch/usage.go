package dispatch

import "time"

// usage is the integral over time of the load of an endpoint, in seconds. The difference of two values gives the mean load between
// them.
type usage struct {
	at time.Time
	// inFlight is the integral of the requests in flight, busy the time in which prompts were queued or computed.
	inFlight, busy float64
}

// advance adds the time since the last call with the present load. It is called before the load changes.
func (u *usage) advance(now time.Time, inFlight, prefill int) {
	if elapsed := now.Sub(u.at).Seconds(); !u.at.IsZero() && elapsed > 0 {
		u.inFlight += elapsed * float64(inFlight)
		if prefill > 0 {
			u.busy += elapsed
		}
	}
	if now.After(u.at) {
		u.at = now
	}
}

// meanSince returns the mean number of requests in flight and the share of time with prompts since an earlier value; false if no time
// has passed.
func (u *usage) meanSince(earlier usage) (inFlight, prefillShare float64, ok bool) {
	elapsed := u.at.Sub(earlier.at).Seconds()
	if earlier.at.IsZero() || elapsed <= 0 {
		return 0, 0, false
	}
	return (u.inFlight - earlier.inFlight) / elapsed, (u.busy - earlier.busy) / elapsed, true
}
