package exchange

import "context"

// Mover copies the memory of a running request from one endpoint to another.
type Mover interface {
	// Move copies the memory that the target does not have yet, and returns when the copy is complete or has failed. The run
	// continues during the copy, unless the move is final. The source has stopped the run after the outcomes MoveDone, MoveNoRun
	// and MoveNoRoom of a final move.
	Move(ctx context.Context, m Move) MoveResult
	// ReleaseCopy releases a copy at both endpoints.
	ReleaseCopy(ctx context.Context, source, handle string) error
}
