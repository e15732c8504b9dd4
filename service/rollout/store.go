package rollout

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// Store is the part of the platform's store that a Decider uses.
type Store interface {
	Range(ctx context.Context, prefix string) (backing.RangeResult, error)
	Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (backing.LeaseID, error)
	RenewLease(ctx context.Context, id backing.LeaseID) error
}
