package configuration

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

// Guards against a change that fails or is made twice because the answer to its write was lost.
func TestLostAnswerOfWriteIsResolved(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.kv.nextCommit(func(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
			_, _ = f.kv.KV.Commit(ctx, txn)
			return backing.CommitResult{}, backing.ErrUnknownOutcome.New("answer lost")
		})
		accepted, err := f.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		assert.Equal(t, accepted.Revision, int64(1))
		assert.Equal(t, accepted.Object.DataCentre.Region, "a")
		assert.Equal(t, f.manager.Current().Load().Revision(), int64(1))
	})
}

// Guards against a false conflict when a write of unknown outcome takes effect while its outcome is being read. The test
// fails with a conflict if the operation is read before the head.
func TestLateWriteIsNotReportedAsConflict(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		var lateTxn backing.Txn
		f.kv.nextCommit(func(_ context.Context, txn backing.Txn) (backing.CommitResult, error) {
			lateTxn = txn
			return backing.CommitResult{}, backing.ErrUnknownOutcome.New("stalled")
		})
		f.kv.afterGet = func(key string) {
			if key == operationKey("op") && lateTxn.Writes != nil {
				txn := lateTxn
				lateTxn = backing.Txn{}
				_, err := f.kv.KV.Commit(context.Background(), txn)
				assert.Check(t, err)
			}
		}
		accepted, err := f.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		assert.Equal(t, accepted.Revision, int64(1))
	})
}

// Guards against a change reported as refused when the service is unavailable after a write of unknown outcome.
func TestUnresolvedWriteIsUnknownOutcome(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.kv.nextCommit(func(context.Context, backing.Txn) (backing.CommitResult, error) {
			f.kv.down.Store(true)
			return backing.CommitResult{}, backing.ErrUnknownOutcome.New("stalled")
		})
		start := time.Now()
		_, err := f.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.Assert(t, backing.ErrUnknownOutcome.Has(err), "%v", err)
		assert.Equal(t, time.Since(start), changeTimeout)
	})
}

// Guards against an unknown outcome reported for an outage before any write.
func TestOutageBeforeWriteIsUnavailable(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.kv.down.Store(true)
		_, err := f.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.Assert(t, backing.ErrUnavailable.Has(err) && !backing.ErrUnknownOutcome.Has(err), "%v", err)
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = f.changer.Change(cancelled, putWest("op", 0, "a"))
		assert.Assert(t, err != nil)
		synctest.Wait()
		assert.Equal(t, f.manager.Current().Load().Revision(), int64(0))
	})
}

// Guards against an operation that is applied twice, and against an operation id accepted for a different change.
func TestOperationIsAppliedOnce(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		first, err := f.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		_, err = f.changer.Change(t.Context(), putWest("other", 1, "b"))
		assert.NilError(t, err)
		again, err := f.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		assert.Equal(t, again.Revision, first.Revision)
		assert.Equal(t, again.Object.DataCentre.Region, "a")
		_, err = f.changer.Change(t.Context(), putWest("op", 2, "c"))
		var reused *config.OperationReusedError
		assert.Assert(t, errors.As(err, &reused), "%v", err)
		assert.Equal(t, f.manager.Current().Load().DataCentre("west").Region, "b")
	})
}

// Guards against a change to a key-value service that was restored to an older state, which would lose an accepted change,
// and against a node that puts the older state in force.
func TestRestoredServiceIsNeitherFollowedNorChanged(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.mustChange(t, 3)
		oldHead, err := f.kv.KV.Get(t.Context(), headKey)
		assert.NilError(t, err)
		_, err = f.kv.KV.Commit(t.Context(), backing.Txn{Writes: []backing.Write{
			{Key: headKey, Value: []byte(strings.Replace(string(oldHead.Value), "3", "2", 1))},
		}})
		assert.NilError(t, err)
		_, err = f.changer.Change(t.Context(), putWest("op", config.AnyRevision, "z"))
		var restored *config.RestoredError
		assert.Assert(t, errors.As(err, &restored), "%v", err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.watcher.Run(ctx) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		assert.Equal(t, f.manager.Current().Load().Revision(), int64(3))
		reports := f.logs.FilterMessage("configuration restored to an older state, not followed")
		assert.Equal(t, reports.Len(), 1)
	})
}

// Guards against an unknown outcome reported for a change that was still queued behind another change.
func TestWaitingChangeIsUnavailable(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.kv.nextCommit(func(ctx context.Context, _ backing.Txn) (backing.CommitResult, error) {
			<-ctx.Done()
			return backing.CommitResult{}, backing.ErrUnknownOutcome.New("stalled")
		})
		first := make(chan error, 1)
		go func() {
			_, err := f.changer.Change(t.Context(), putWest("first", 0, "a"))
			first <- err
		}()
		synctest.Wait()
		shortCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.changer.Change(shortCtx, putWest("second", 0, "b"))
		assert.Assert(t, backing.ErrUnavailable.Has(err) && !backing.ErrUnknownOutcome.Has(err), "%v", err)
		assert.Assert(t, backing.ErrUnknownOutcome.Has(<-first))
		synctest.Wait()
		op, err := f.changer.store.readOperation(t.Context(), "second")
		assert.NilError(t, err)
		assert.Equal(t, op.Revision, int64(0))
	})
}
