package peer

import "time"

// frame is an envelope on its way to the writer of a link.
type frame struct {
	envelope envelope
	// state is set for calls.
	state *callState
	// deadline is set for calls; the writer turns it into the remaining wait.
	deadline time.Time
}
