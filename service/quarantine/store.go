package quarantine

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// Store is the part of the key-value service in which marks are stored.
type Store interface {
	Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (backing.LeaseID, error)
}
