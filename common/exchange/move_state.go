package exchange

// MoveState says how a move ended.
type MoveState uint8

const (
	// MoveFailed is the zero value: nothing is known of the copy.
	MoveFailed MoveState = iota
	// MoveDone means that the copy is complete.
	MoveDone
	// MoveNoRun means that the source does not run the request, or not yet.
	MoveNoRun
	// MoveBusy means that another move of the run is in progress.
	MoveBusy
	// MoveNoRoom means that the target has no room or cannot be reached from the source.
	MoveNoRoom
)
