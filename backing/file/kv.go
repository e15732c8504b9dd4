package file

import (
	"context"
	"os"
	"slices"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

const (
	// checkInterval is the interval at which a watch checks for a new revision of the file.
	checkInterval = 2 * time.Second
	// watchCapacity is the number of unread batches after which a watch is closed.
	watchCapacity = 64
)

// KV is a read-only backing.KV. It reads the file at each call, and returns ErrUnavailable if the file cannot be read or is
// invalid.
type KV struct {
	path string
}

var _ backing.KV = (*KV)(nil)

// New returns a KV that reads the file at path.
func New(path string) *KV { return &KV{path: path} }

// Range implements backing.KV.
func (k *KV) Range(_ context.Context, prefix string) (backing.RangeResult, error) {
	data, err := os.ReadFile(k.path)
	if err != nil {
		return backing.RangeResult{}, backing.ErrUnavailable.Wrap(err)
	}
	result, err := parse(data)
	if err != nil {
		return backing.RangeResult{}, backing.ErrUnavailable.Wrap(err)
	}
	result.Entries = slices.DeleteFunc(result.Entries, func(e backing.Entry) bool {
		return !strings.HasPrefix(e.Key, prefix)
	})
	slices.SortFunc(result.Entries, func(a, b backing.Entry) int { return strings.Compare(a.Key, b.Key) })
	return result, nil
}

// Get implements backing.KV.
func (k *KV) Get(ctx context.Context, key string) (backing.Entry, error) {
	result, err := k.Range(ctx, key)
	if err != nil {
		return backing.Entry{}, err
	}
	for _, e := range result.Entries {
		if e.Key == key {
			return e, nil
		}
	}
	return backing.Entry{Key: key}, nil
}

// Watch implements backing.KV. Each new revision of the file is reported as one batch with all entries; deletions are not
// reported.
func (k *KV) Watch(ctx context.Context, prefix string, from int64) (<-chan backing.WatchBatch, error) {
	if _, err := k.Range(ctx, prefix); err != nil {
		return nil, err
	}
	out := make(chan backing.WatchBatch, watchCapacity)
	go k.watch(ctx, prefix, from, out)
	return out, nil
}

// watch sends the entries each time the file has a revision of at least next. It ignores an invalid file, which is read
// again at the next interval.
func (k *KV) watch(ctx context.Context, prefix string, next int64, out chan<- backing.WatchBatch) {
	defer close(out)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		if result, err := k.Range(ctx, prefix); err == nil && result.Revision >= next && len(result.Entries) > 0 {
			next = result.Revision + 1
			batch := backing.WatchBatch{Revision: result.Revision}
			for _, e := range result.Entries {
				batch.Events = append(batch.Events, backing.WatchEvent{Entry: e})
			}
			select {
			case out <- batch:
			default:
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Commit refuses every write.
func (k *KV) Commit(context.Context, backing.Txn) (backing.CommitResult, error) {
	return backing.CommitResult{}, readOnly()
}

// GrantLease refuses every lease.
func (k *KV) GrantLease(context.Context, time.Duration) (backing.LeaseID, error) {
	return 0, readOnly()
}

// RenewLease refuses every renewal.
func (k *KV) RenewLease(context.Context, backing.LeaseID) error { return readOnly() }

// RevokeLease refuses every call.
func (k *KV) RevokeLease(context.Context, backing.LeaseID) error { return readOnly() }

func readOnly() error { return backing.ErrUnavailable.New("the configuration file is read-only") }
