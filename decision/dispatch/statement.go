package dispatch

import "time"

// maxPause bounds the time for which an endpoint gets no requests because it asked for that.
const maxPause = 10 * time.Minute

// statement is what one incarnation of an endpoint has said about itself. Nothing that is read elsewhere takes it back.
type statement struct {
	leaving     bool
	pausedUntil time.Time
	updatedAt   time.Time
	rateLimit   rateLimit
}

// closedUntil returns the time until which the endpoint gets no requests from this node, and why. The obstacle is empty if it may get
// some now.
func (s *statement) closedUntil(now time.Time) (time.Time, Obstacle) {
	switch {
	case s.rateLimit.isRefused(now) && s.rateLimit.refusedUntil.After(s.pausedUntil):
		return s.rateLimit.refusedUntil, RateLimited
	case now.Before(s.pausedUntil):
		return s.pausedUntil, Paused
	default:
		return time.Time{}, ""
	}
}

// pause extends the time for which the endpoint gets no requests. A shorter pause does not end an earlier one, because answers on
// different connections overtake each other.
func (s *statement) pause(now time.Time, d time.Duration) {
	if until := now.Add(min(d, maxPause)); d > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}
