package soak

import "time"

// interval is a closed time interval.
type interval struct {
	from, to time.Time
}

// intersects reports whether the interval shares a point in time with [from, to].
func (i interval) intersects(from, to time.Time) bool { return !i.from.After(to) && !from.After(i.to) }
