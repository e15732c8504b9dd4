// Package backing defines the interfaces through which azuredyke uses the platform's services.
package backing

import (
	"context"
	"time"
)

// KV is the platform's key-value service. Implementations are safe for concurrent use.
//
// Reads are linearizable. Revisions are ordered across the eras of the service, see JoinRevision. The error classes are
// ErrUnavailable (the call had no effect), ErrUnknownOutcome (a write may have taken effect), ErrLeaseNotFound, ErrCompacted and
// ErrInvalid.
type KV interface {
	// Range returns the entries whose keys start with prefix, sorted by key.
	Range(ctx context.Context, prefix string) (RangeResult, error)
	// Get returns one entry. ModRevision is 0 when the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// Commit applies all writes if all conditions hold, and nothing otherwise.
	Commit(ctx context.Context, txn Txn) (CommitResult, error)
	// Watch returns a channel with the events of keys that start with prefix, from the given revision on. The channel is
	// closed when ctx ends, when the watch fails, or when more than 64 batches are unread.
	Watch(ctx context.Context, prefix string, from int64) (<-chan WatchBatch, error)
	// GrantLease returns a new lease with the given time to live.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease restarts the time to live of the lease at some moment during the call.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease deletes the lease and the keys that are attached to it.
	RevokeLease(ctx context.Context, id LeaseID) error
}
