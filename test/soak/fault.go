package soak

import (
	"fmt"
	"time"
)

// fault is one entry of a plan.
type fault struct {
	kind faultKind
	// target is the index of the node, worker or data centre.
	target int
	// at is the time from the start, length how long it lasts.
	at, length time.Duration
	// variant picks one of several ways to do the same.
	variant int
}

// String implements fmt.Stringer.
func (f fault) String() string {
	return fmt.Sprintf("%6.2fs to %6.2fs %s, target %d, variant %d", f.at.Seconds(), (f.at + f.length).Seconds(), f.kind, f.target, f.variant)
}
