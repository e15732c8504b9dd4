package memory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
)

// startKV returns a KV that runs until the test ends.
func startKV(t *testing.T) *KV {
	t.Helper()
	kv := NewKV()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		kv.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return kv
}

// Guards against a transaction that is applied although a condition does not hold.
func TestCommitAppliesAllOrNothing(t *testing.T) {
	kv := startKV(t)
	ctx := t.Context()
	put := backing.Txn{
		Conditions: []backing.Condition{{Key: "a"}},
		Writes:     []backing.Write{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}},
	}
	first, err := kv.Commit(ctx, put)
	assert.NilError(t, err)
	assert.Assert(t, first.Committed)
	second, err := kv.Commit(ctx, put)
	assert.NilError(t, err)
	assert.Assert(t, !second.Committed)
	a, err := kv.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, a.ModRevision, first.Revision)
}

// Guards against keys that remain after their lease has expired, and against a watch that does not report their deletion.
func TestLeaseExpiryDeletesKeysAndNotifiesWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := startKV(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		lease, err := kv.GrantLease(ctx, 2*time.Second)
		assert.NilError(t, err)
		put, err := kv.Commit(ctx, backing.Txn{Writes: []backing.Write{{Key: "own/x", Lease: lease}}})
		assert.NilError(t, err)
		events, err := kv.Watch(ctx, "own/", put.Revision+1)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.NilError(t, kv.RenewLease(ctx, lease))
		time.Sleep(1500 * time.Millisecond)
		e, err := kv.Get(ctx, "own/x")
		assert.NilError(t, err)
		assert.Assert(t, e.ModRevision != 0, "a renewed lease must not expire")
		batch := <-events
		assert.Assert(t, batch.Events[0].Deleted)
		assert.Assert(t, backing.ErrLeaseNotFound.Has(kv.RenewLease(ctx, lease)))
	})
}
