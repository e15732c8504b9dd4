package exchange

// Moved is the result of a move.
type Moved struct {
	State MoveState
	// Handle names the copy; it may also be set when the target had no room, and then names what the source keeps.
	Handle string
	// Err says why the move failed.
	Err error
}
