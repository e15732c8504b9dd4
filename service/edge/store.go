package edge

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// Store is the part of the platform's store that a node uses.
type Store interface {
	Range(ctx context.Context, prefix string) (backing.RangeResult, error)
	// Poll waits at most wait for changes after a revision to keys with a prefix. It fails soon after a reply that makes no progress.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (backing.WatchBatch, error)
	Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (backing.LeaseID, error)
	RenewLease(ctx context.Context, id backing.LeaseID) error
}
