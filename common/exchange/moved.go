package exchange

// Moved is the result of a move.
type Moved struct {
	State MoveState
	// Handle names the copy.
	Handle string
	// Err says why the move failed.
	Err error
}
