package claims

import (
	"context"
	"sync/atomic"
	"time"

	"azuredyke.dev/azuredyke/platform"
)

// faultMode is what a faultyKV does to calls.
type faultMode int32

const (
	faultNone faultMode = iota
	// faultRefuse fails each call without effect.
	faultRefuse
	// faultLoseAnswer applies each write and loses its answer.
	faultLoseAnswer
	// faultLateWrite reports an unknown outcome and applies the write later.
	faultLateWrite
	// faultPause applies each call and holds its answer back beyond every deadline, as a paused process would see it.
	faultPause
	// faultStall applies each write after a pause that is longer than a lease.
	faultStall
	faultModes
)

const (
	// lateBy is how much later a write of faultLateWrite is applied.
	lateBy = 700 * time.Millisecond
	// pauseFor is how long an answer is held back; it is longer than a lease.
	pauseFor = 9 * time.Second
)

// faultyKV is one node's connection to a shared key-value service.
type faultyKV struct {
	platform.KV
	mode atomic.Int32
	// spareLease exempts the calls about leases.
	spareLease atomic.Bool
	// latency delays each call, in nanoseconds.
	latency atomic.Int64
	// writes counts the calls that write.
	writes *atomic.Int64
}

func (f *faultyKV) fault() faultMode { return faultMode(f.mode.Load()) }

func (f *faultyKV) write(ctx context.Context, apply func(ctx context.Context) error) error {
	f.writes.Add(1)
	time.Sleep(time.Duration(f.latency.Load()))
	switch f.fault() {
	case faultRefuse:
		return platform.ErrUnavailable.New("fault")
	case faultLoseAnswer:
		_ = apply(ctx)
		return platform.ErrUnknownOutcome.New("fault")
	case faultLateWrite:
		time.AfterFunc(lateBy, func() { _ = apply(context.Background()) })
		return platform.ErrUnknownOutcome.New("fault")
	case faultStall:
		time.Sleep(pauseFor)
		return apply(context.WithoutCancel(ctx))
	case faultPause:
		err := apply(ctx)
		time.Sleep(pauseFor)
		return err
	}
	return apply(ctx)
}

func (f *faultyKV) read() error {
	switch f.fault() {
	case faultRefuse:
		return platform.ErrUnavailable.New("fault")
	case faultPause:
		defer time.Sleep(pauseFor)
	}
	return nil
}

func (f *faultyKV) Range(ctx context.Context, prefix string) (platform.RangeResult, error) {
	if err := f.read(); err != nil {
		return platform.RangeResult{}, err
	}
	return f.KV.Range(ctx, prefix)
}

func (f *faultyKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := f.read(); err != nil {
		return platform.Entry{}, err
	}
	return f.KV.Get(ctx, key)
}

func (f *faultyKV) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	var result platform.CommitResult
	err := f.write(ctx, func(ctx context.Context) (err error) {
		result, err = f.KV.Commit(ctx, txn)
		return err
	})
	if err != nil {
		return platform.CommitResult{}, err
	}
	return result, nil
}

func (f *faultyKV) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	var id platform.LeaseID
	err := f.write(ctx, func(ctx context.Context) (err error) {
		id, err = f.KV.GrantLease(ctx, ttl)
		return err
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

func (f *faultyKV) RenewLease(ctx context.Context, id platform.LeaseID) error {
	if f.spareLease.Load() {
		f.writes.Add(1)
		return f.KV.RenewLease(ctx, id)
	}
	return f.write(ctx, func(ctx context.Context) error { return f.KV.RenewLease(ctx, id) })
}

// Watch holds events back while the node is paused.
func (f *faultyKV) Watch(ctx context.Context, prefix string, from int64) (<-chan platform.WatchBatch, error) {
	if err := f.read(); err != nil {
		return nil, err
	}
	batches, err := f.KV.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	out := make(chan platform.WatchBatch, 64)
	go func() {
		defer close(out)
		for batch := range batches {
			if f.fault() == faultPause || f.fault() == faultStall {
				time.Sleep(pauseFor)
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
