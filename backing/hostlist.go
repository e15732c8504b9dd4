package backing

import (
	"context"

	"azuredyke.dev/azuredyke/common/message"
)

// HostList is the platform's list of hosts, which may be out of date.
type HostList interface {
	// Fetch returns the current list. After an error, callers keep using their last list.
	Fetch(ctx context.Context) ([]message.Host, error)
}
