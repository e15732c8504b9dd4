package configuration

import (
	"context"
	"sync/atomic"

	"azuredyke.dev/azuredyke/backing"
)

// faultyKV is a key-value service with hooks and outages for tests. afterGet and afterRange are set before any calls.
type faultyKV struct {
	backing.KV
	// commit replaces the next call of Commit.
	commit atomic.Pointer[func(ctx context.Context, txn backing.Txn) (backing.CommitResult, error)]
	// afterGet is called after each Get.
	afterGet func(key string)
	// afterRange is called after each Range.
	afterRange func(prefix string)
	down       atomic.Bool
	ranges     atomic.Int64
}

func (k *faultyKV) nextCommit(f func(ctx context.Context, txn backing.Txn) (backing.CommitResult, error)) {
	k.commit.Store(&f)
}

func (k *faultyKV) checkAvailable() error {
	if k.down.Load() {
		return backing.ErrUnavailable.New("outage")
	}
	return nil
}

// Commit implements backing.KV.
func (k *faultyKV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	if f := k.commit.Swap(nil); f != nil {
		return (*f)(ctx, txn)
	}
	if err := k.checkAvailable(); err != nil {
		return backing.CommitResult{}, err
	}
	return k.KV.Commit(ctx, txn)
}

// Range implements backing.KV.
func (k *faultyKV) Range(ctx context.Context, prefix string) (backing.RangeResult, error) {
	k.ranges.Add(1)
	if err := k.checkAvailable(); err != nil {
		return backing.RangeResult{}, err
	}
	result, err := k.KV.Range(ctx, prefix)
	if k.afterRange != nil {
		k.afterRange(prefix)
	}
	return result, err
}

// Get implements backing.KV.
func (k *faultyKV) Get(ctx context.Context, key string) (backing.Entry, error) {
	if err := k.checkAvailable(); err != nil {
		return backing.Entry{}, err
	}
	e, err := k.KV.Get(ctx, key)
	if k.afterGet != nil {
		k.afterGet(key)
	}
	return e, err
}

// Watch implements backing.KV. An outage ends the watch at the next event.
func (k *faultyKV) Watch(ctx context.Context, prefix string, from int64) (<-chan backing.WatchBatch, error) {
	if err := k.checkAvailable(); err != nil {
		return nil, err
	}
	in, err := k.KV.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	out := make(chan backing.WatchBatch)
	go func() {
		defer close(out)
		for batch := range in {
			if k.down.Load() {
				return
			}
			select {
			case out <- batch:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}
