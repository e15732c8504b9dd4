package backing

import (
	"context"

	"azuredyke.dev/azuredyke/common/message"
)

// HostList is the platform's lagging list of hosts.
type HostList interface {
	// Fetch returns the current list. On an error the caller keeps the list it has.
	Fetch(ctx context.Context) ([]message.Host, error)
}
