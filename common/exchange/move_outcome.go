package exchange

// MoveOutcome is the outcome of a move.
type MoveOutcome uint8

const (
	// MoveFailed is the zero value: the state of the copy is unknown.
	MoveFailed MoveOutcome = iota
	// MoveDone means that the copy is complete.
	MoveDone
	// MoveNoRun means that the source is not running the request, or has not started it yet.
	MoveNoRun
	// MoveBusy means that another move of the run is in progress.
	MoveBusy
	// MoveNoRoom means that the target has no room or cannot be reached from the source.
	MoveNoRoom
)
