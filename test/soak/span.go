package soak

import "time"

// span is a time in which something was disturbed.
type span struct {
	from, to time.Time
}

// meets reports whether two spans have a moment in common.
func (s span) meets(from, to time.Time) bool { return !s.from.After(to) && !from.After(s.to) }
