// Package backing defines the narrow interfaces through which azuredyke uses the platform's services.
package backing

import (
	"context"
	"time"
)

// KV is the platform's key-value service. Implementations are safe for concurrent use.
//
// Reads are linearizable. Errors are ErrUnavailable (the call had no effect), ErrUnknownOutcome (a write may have taken
// effect), ErrLeaseNotFound and ErrCompacted.
type KV interface {
	// Range returns the entries whose keys start with prefix, sorted by key.
	Range(ctx context.Context, prefix string) (RangeResult, error)
	// Get returns one entry; its ModRevision is 0 when the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// Commit applies all writes if all conditions hold, and nothing otherwise.
	Commit(ctx context.Context, txn Txn) (CommitResult, error)
	// Watch sends the events of keys that start with prefix, from the given revision on, and closes the channel when ctx
	// ends or the watch breaks. A reader that falls 64 batches behind loses the watch.
	Watch(ctx context.Context, prefix string, from int64) (<-chan WatchBatch, error)
	// GrantLease returns a new lease.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends the lease by its time to live, counted from some moment during the call.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease deletes the lease and its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}
