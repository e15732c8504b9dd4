package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/common/message"
)

// Placer finds endpoints for requests and receives the reports on its grants.
type Placer interface {
	// Place returns a grant or a refusal. After an error the caller has no grant that it may use.
	Place(ctx context.Context, r message.PlaceRequest) (message.PlaceReply, error)
	// Report delivers an event of a grant. Reports of progress may be dropped, reports of the end of a grant may not.
	Report(ctx context.Context, r message.GrantReport) error
}
