package exchange

// MoveResult is the result of a move.
type MoveResult struct {
	Outcome MoveOutcome
	// Handle identifies the copy.
	Handle string
	// Statement is what the source says about itself.
	Statement Statement
	// Err is the cause of a failed move.
	Err error
}
