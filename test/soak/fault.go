package soak

import (
	"fmt"
	"time"
)

// fault is one planned fault.
type fault struct {
	kind faultKind
	// target is the index of the affected node, worker or data centre.
	target int
	// at is the time from the start of the plan to the fault, length the duration of the fault.
	at, length time.Duration
	// variant selects among the forms of a kind, such as the direction of a one-way stall.
	variant int
}

// String implements fmt.Stringer.
func (f fault) String() string {
	return fmt.Sprintf("%6.2fs to %6.2fs %s, target %d, variant %d", f.at.Seconds(), (f.at + f.length).Seconds(), f.kind, f.target, f.variant)
}
