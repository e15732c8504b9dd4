// Package faultykv is a stand-in for a bad connection to the key-value service: it refuses calls, loses answers, and applies
// writes late, as a node sees them while the service is away or while the node itself is paused.
package faultykv

import (
	"context"
	"sync/atomic"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// KV is one node's connection to a shared key-value service. Its fields may be changed while it is used.
type KV struct {
	backing.KV
	// Mode holds the Mode in force.
	Mode atomic.Int32
	// SpareLease exempts the calls about leases.
	SpareLease atomic.Bool
	// Latency delays each call, in nanoseconds.
	Latency atomic.Int64
	// Writes counts the calls that write; it may be nil.
	Writes *atomic.Int64
}

func (f *KV) fault() Mode { return Mode(f.Mode.Load()) }

func (f *KV) count() {
	if f.Writes != nil {
		f.Writes.Add(1)
	}
}

func (f *KV) write(ctx context.Context, apply func(ctx context.Context) error) error {
	f.count()
	time.Sleep(time.Duration(f.Latency.Load()))
	switch f.fault() {
	case Refuse:
		return backing.ErrUnavailable.New("fault")
	case LoseAnswer:
		_ = apply(ctx)
		return backing.ErrUnknownOutcome.New("fault")
	case LateWrite:
		time.AfterFunc(lateBy, func() { _ = apply(context.Background()) })
		return backing.ErrUnknownOutcome.New("fault")
	case Stall:
		time.Sleep(PauseFor)
		return apply(context.WithoutCancel(ctx))
	case Pause:
		err := apply(ctx)
		time.Sleep(PauseFor)
		return err
	}
	return apply(ctx)
}

func (f *KV) read() error {
	switch f.fault() {
	case Refuse:
		return backing.ErrUnavailable.New("fault")
	case Pause:
		defer time.Sleep(PauseFor)
	}
	return nil
}

// Range implements backing.KV.
func (f *KV) Range(ctx context.Context, prefix string) (backing.RangeResult, error) {
	if err := f.read(); err != nil {
		return backing.RangeResult{}, err
	}
	return f.KV.Range(ctx, prefix)
}

// Get implements backing.KV.
func (f *KV) Get(ctx context.Context, key string) (backing.Entry, error) {
	if err := f.read(); err != nil {
		return backing.Entry{}, err
	}
	return f.KV.Get(ctx, key)
}

// Commit implements backing.KV.
func (f *KV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	var result backing.CommitResult
	err := f.write(ctx, func(ctx context.Context) (err error) {
		result, err = f.KV.Commit(ctx, txn)
		return err
	})
	if err != nil {
		return backing.CommitResult{}, err
	}
	return result, nil
}

// GrantLease implements backing.KV.
func (f *KV) GrantLease(ctx context.Context, ttl time.Duration) (backing.LeaseID, error) {
	var id backing.LeaseID
	err := f.write(ctx, func(ctx context.Context) (err error) {
		id, err = f.KV.GrantLease(ctx, ttl)
		return err
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// RenewLease implements backing.KV.
func (f *KV) RenewLease(ctx context.Context, id backing.LeaseID) error {
	if f.SpareLease.Load() {
		f.count()
		return f.KV.RenewLease(ctx, id)
	}
	return f.write(ctx, func(ctx context.Context) error { return f.KV.RenewLease(ctx, id) })
}

// Watch implements backing.KV. It holds events back while the node is paused.
func (f *KV) Watch(ctx context.Context, prefix string, from int64) (<-chan backing.WatchBatch, error) {
	if err := f.read(); err != nil {
		return nil, err
	}
	batches, err := f.KV.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	out := make(chan backing.WatchBatch, 64)
	go func() {
		defer close(out)
		for batch := range batches {
			if f.fault() == Pause || f.fault() == Stall {
				time.Sleep(PauseFor)
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
