package memory

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/mailbox"
)

// result is the reply to a storeCall.
type result[R any] struct {
	value R
	err   error
}

// storeCall calls apply in the task's goroutine and sends the result to reply.
type storeCall[R any] struct {
	apply func(t *task) (R, error)
	reply chan<- result[R]
}

func (c storeCall[R]) run(t *task) {
	value, err := c.apply(t)
	c.reply <- result[R]{value: value, err: err}
}

// do sends a storeCall and waits for its result.
func do[R any](ctx context.Context, k *KV, apply func(t *task) (R, error)) (R, error) {
	r, err := mailbox.Call(ctx, k.calls, func(reply chan<- result[R]) call {
		return storeCall[R]{apply: apply, reply: reply}
	})
	if err != nil {
		return r.value, backing.ErrUnknownOutcome.Wrap(err)
	}
	return r.value, r.err
}

// Range implements backing.KV.
func (k *KV) Range(ctx context.Context, prefix string) (backing.RangeResult, error) {
	return do(ctx, k, func(t *task) (backing.RangeResult, error) { return t.store.Range(prefix), nil })
}

// Get implements backing.KV.
func (k *KV) Get(ctx context.Context, key string) (backing.Entry, error) {
	return do(ctx, k, func(t *task) (backing.Entry, error) { return t.store.Get(key), nil })
}

// Commit implements backing.KV.
func (k *KV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	return do(ctx, k, func(t *task) (backing.CommitResult, error) {
		committed, batch, err := t.store.Commit(txn)
		t.publish(batch)
		return committed, err
	})
}

// Watch implements backing.KV.
func (k *KV) Watch(ctx context.Context, prefix string, from int64) (<-chan backing.WatchBatch, error) {
	w := &watcher{prefix: prefix}
	_, err := do(ctx, k, func(t *task) (struct{}, error) {
		history, err := t.store.BatchesFrom(from)
		if err != nil {
			return struct{}{}, err
		}
		w.out = make(chan backing.WatchBatch, len(history)+watchCapacity)
		t.watchers[w] = struct{}{}
		for _, batch := range history {
			t.deliver(w, batch)
		}
		return struct{}{}, nil
	})
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() {
		// If the task has ended, the message is not received, and closeAll has already closed the watch.
		k.calls.TrySend(storeCall[struct{}]{
			apply: func(t *task) (struct{}, error) { t.closeWatch(w); return struct{}{}, nil },
			reply: make(chan result[struct{}], 1),
		})
	})
	return w.out, nil
}

// GrantLease implements backing.KV.
func (k *KV) GrantLease(ctx context.Context, ttl time.Duration) (backing.LeaseID, error) {
	return do(ctx, k, func(t *task) (backing.LeaseID, error) { return t.store.GrantLease(time.Now(), ttl), nil })
}

// RenewLease implements backing.KV.
func (k *KV) RenewLease(ctx context.Context, id backing.LeaseID) error {
	_, err := do(ctx, k, func(t *task) (time.Duration, error) { return t.store.RenewLease(time.Now(), id) })
	return err
}

// RevokeLease implements backing.KV.
func (k *KV) RevokeLease(ctx context.Context, id backing.LeaseID) error {
	_, err := do(ctx, k, func(t *task) (struct{}, error) {
		batch, err := t.store.RevokeLease(id)
		t.publish(batch)
		return struct{}{}, err
	})
	return err
}

var _ backing.KV = (*KV)(nil)
