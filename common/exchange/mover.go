package exchange

import "context"

// Mover copies the memory of a running request from one endpoint to another.
type Mover interface {
	// Move copies what the target does not have yet and returns when that is done. The run goes on meanwhile.
	Move(ctx context.Context, m Move) Moved
	// Free gives up a copy that is not needed any more, at both ends.
	Free(ctx context.Context, source, handle string) error
}
