package peer

import "time"

// frame is an envelope in the queue of a link's writer.
type frame struct {
	envelope envelope
	// state is set for calls.
	state *callState
	// deadline is set for calls. The writer converts it to WaitMillis.
	deadline time.Time
}
