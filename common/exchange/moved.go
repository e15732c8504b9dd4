package exchange

// Moved is the result of a move.
type Moved struct {
	State MoveState
	// Handle identifies the copy.
	Handle string
	// Err is the cause of a failed move.
	Err error
}
