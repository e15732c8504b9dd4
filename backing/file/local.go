package file

import (
	"context"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
)

// configPrefix starts the keys that come from the file.
const configPrefix = "config/"

// localPrefixes start the keys that are kept in memory: who owns what, which only one node can ask here.
var localPrefixes = []string{"own/", "fence/"}

// Local is the key-value service of a site with a single node and a configuration from a file. Ownership is kept in memory.
// Every other write is ErrUnavailable: neither a change of the configuration nor a claim could outlive the process.
type Local struct {
	file   *KV
	memory *memory.KV
}

var _ backing.KV = (*Local)(nil)

// NewLocal returns a Local that reads the file at path. It answers once Run is started.
func NewLocal(path string) *Local { return &Local{file: New(path), memory: memory.NewKV()} }

// Run serves until ctx ends.
func (l *Local) Run(ctx context.Context) { l.memory.Run(ctx) }

// Range implements backing.KV.
func (l *Local) Range(ctx context.Context, prefix string) (backing.RangeResult, error) {
	return l.of(prefix).Range(ctx, prefix)
}

// Get implements backing.KV.
func (l *Local) Get(ctx context.Context, key string) (backing.Entry, error) {
	return l.of(key).Get(ctx, key)
}

// Commit implements backing.KV.
func (l *Local) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	for _, w := range txn.Writes {
		if !isLocal(w.Key) {
			return backing.CommitResult{}, backing.ErrUnavailable.New("%s cannot be written with a configuration from a file", w.Key)
		}
	}
	return l.memory.Commit(ctx, txn)
}

// Watch implements backing.KV.
func (l *Local) Watch(ctx context.Context, prefix string, from int64) (<-chan backing.WatchBatch, error) {
	return l.of(prefix).Watch(ctx, prefix, from)
}

// GrantLease implements backing.KV.
func (l *Local) GrantLease(ctx context.Context, ttl time.Duration) (backing.LeaseID, error) {
	return l.memory.GrantLease(ctx, ttl)
}

// RenewLease implements backing.KV.
func (l *Local) RenewLease(ctx context.Context, id backing.LeaseID) error {
	return l.memory.RenewLease(ctx, id)
}

// RevokeLease implements backing.KV.
func (l *Local) RevokeLease(ctx context.Context, id backing.LeaseID) error {
	return l.memory.RevokeLease(ctx, id)
}

// of returns the store of a key or prefix.
func (l *Local) of(key string) backing.KV {
	if strings.HasPrefix(key, configPrefix) {
		return l.file
	}
	return l.memory
}

func isLocal(key string) bool {
	for _, p := range localPrefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}
