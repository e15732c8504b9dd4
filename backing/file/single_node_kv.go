package file

import (
	"context"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
)

// configPrefix is the prefix of the keys that are read from the file.
const configPrefix = "config/"

// localPrefixes are the prefixes of the keys that are kept in memory. They record ownership, which no other node reads on a
// site with a single node.
var localPrefixes = []string{"own/", "fence/"}

// SingleNodeKV is the key-value service of a site with a single node and a configuration from a file. Ownership is kept in
// memory. Any other write returns ErrUnavailable, because a configuration change or a claim would be lost when the process
// ends.
type SingleNodeKV struct {
	file   *KV
	memory *memory.KV
}

var _ backing.KV = (*SingleNodeKV)(nil)

// NewSingleNodeKV returns a SingleNodeKV that reads the file at path. Calls that use the memory wait until Run is started.
func NewSingleNodeKV(path string) *SingleNodeKV {
	return &SingleNodeKV{file: New(path), memory: memory.NewKV()}
}

// Run serves until ctx ends.
func (s *SingleNodeKV) Run(ctx context.Context) { s.memory.Run(ctx) }

// Range implements backing.KV.
func (s *SingleNodeKV) Range(ctx context.Context, prefix string) (backing.RangeResult, error) {
	return s.storeFor(prefix).Range(ctx, prefix)
}

// Get implements backing.KV.
func (s *SingleNodeKV) Get(ctx context.Context, key string) (backing.Entry, error) {
	return s.storeFor(key).Get(ctx, key)
}

// Commit implements backing.KV.
func (s *SingleNodeKV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	for _, w := range txn.Writes {
		if !isLocal(w.Key) {
			return backing.CommitResult{}, backing.ErrUnavailable.New("%s cannot be written with a configuration from a file", w.Key)
		}
	}
	return s.memory.Commit(ctx, txn)
}

// Watch implements backing.KV.
func (s *SingleNodeKV) Watch(ctx context.Context, prefix string, from int64) (<-chan backing.WatchBatch, error) {
	return s.storeFor(prefix).Watch(ctx, prefix, from)
}

// GrantLease implements backing.KV.
func (s *SingleNodeKV) GrantLease(ctx context.Context, ttl time.Duration) (backing.LeaseID, error) {
	return s.memory.GrantLease(ctx, ttl)
}

// RenewLease implements backing.KV.
func (s *SingleNodeKV) RenewLease(ctx context.Context, id backing.LeaseID) error {
	return s.memory.RenewLease(ctx, id)
}

// RevokeLease implements backing.KV.
func (s *SingleNodeKV) RevokeLease(ctx context.Context, id backing.LeaseID) error {
	return s.memory.RevokeLease(ctx, id)
}

// storeFor returns the store that holds a key or prefix.
func (s *SingleNodeKV) storeFor(key string) backing.KV {
	if strings.HasPrefix(key, configPrefix) {
		return s.file
	}
	return s.memory
}

func isLocal(key string) bool {
	for _, p := range localPrefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}
