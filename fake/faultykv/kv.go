// Package faultykv injects faults into a node's connection to the key-value service: it refuses calls, loses answers,
// and applies writes late, as happens when the service is unavailable or the node is paused.
package faultykv

import (
	"context"
	"sync/atomic"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// KV is one node's connection to a shared key-value service. The values of its atomic fields may change at any time.
type KV struct {
	backing.KV
	// Mode holds the current Mode.
	Mode atomic.Int32
	// ExemptRenewLease exempts RenewLease from faults and latency.
	ExemptRenewLease atomic.Bool
	// Latency is the delay of each Commit, GrantLease and RenewLease in nanoseconds.
	Latency atomic.Int64
	// Writes counts the calls of Commit, GrantLease and RenewLease. It may be nil.
	Writes *atomic.Int64
}

func (f *KV) mode() Mode { return Mode(f.Mode.Load()) }

func (f *KV) countWrite() {
	if f.Writes != nil {
		f.Writes.Add(1)
	}
}

// write applies a write or a lease call with the current fault.
func (f *KV) write(ctx context.Context, apply func(ctx context.Context) error) error {
	f.countWrite()
	time.Sleep(time.Duration(f.Latency.Load()))
	switch f.mode() {
	case Refuse:
		return backing.ErrUnavailable.New("fault")
	case LoseAnswer:
		_ = apply(ctx)
		return backing.ErrUnknownOutcome.New("fault")
	case LateWrite:
		time.AfterFunc(lateWriteDelay, func() { _ = apply(context.Background()) })
		return backing.ErrUnknownOutcome.New("fault")
	case Stall:
		time.Sleep(PauseDuration)
		return apply(context.WithoutCancel(ctx))
	case Pause:
		err := apply(ctx)
		time.Sleep(PauseDuration)
		return err
	}
	return apply(ctx)
}

// read applies the current fault to a read, before the read is sent.
func (f *KV) read() error {
	switch f.mode() {
	case Refuse:
		return backing.ErrUnavailable.New("fault")
	case Pause:
		defer time.Sleep(PauseDuration)
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
	if f.ExemptRenewLease.Load() {
		f.countWrite()
		return f.KV.RenewLease(ctx, id)
	}
	return f.write(ctx, func(ctx context.Context) error { return f.KV.RenewLease(ctx, id) })
}

// Watch implements backing.KV. In the modes Pause and Stall it delays each batch of events by PauseDuration.
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
			if f.mode() == Pause || f.mode() == Stall {
				time.Sleep(PauseDuration)
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
