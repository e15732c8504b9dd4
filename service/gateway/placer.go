package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/common/message"
)

// Placer finds an endpoint for a request and learns what became of it.
type Placer interface {
	// Place returns a grant or a refusal. After an error no grant was made that the caller may use.
	Place(ctx context.Context, r message.PlaceRequest) (message.PlaceReply, error)
	// Report may drop reports of progress, but not the end of a grant.
	Report(ctx context.Context, r message.GrantReport) error
}
