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

// Guards against a change that is refused, or made twice, because the answer to its write was lost.
func TestLostAnswerOfWriteIsResolved(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.kv.nextCommit(func(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
			_, _ = r.kv.KV.Commit(ctx, txn)
			return backing.CommitResult{}, backing.ErrUnknownOutcome.New("answer lost")
		})
		accepted, err := r.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		assert.Equal(t, accepted.Revision, int64(1))
		assert.Equal(t, accepted.Object.DataCentre.Region, "a")
		assert.Equal(t, r.keeper.Current().Load().Revision(), int64(1))
	})
}

// Guards against a write of unknown outcome that lands while its outcome is looked up and is then taken for another
// operator's change. Reading the operation before the head makes this test fail with a conflict.
func TestLateWriteIsNotTakenForConflict(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		var late backing.Txn
		r.kv.nextCommit(func(_ context.Context, txn backing.Txn) (backing.CommitResult, error) {
			late = txn
			return backing.CommitResult{}, backing.ErrUnknownOutcome.New("stalled")
		})
		r.kv.afterGet = func(key string) {
			if key == operationKey("op") && late.Writes != nil {
				txn := late
				late = backing.Txn{}
				_, err := r.kv.KV.Commit(context.Background(), txn)
				assert.Check(t, err)
			}
		}
		accepted, err := r.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		assert.Equal(t, accepted.Revision, int64(1))
	})
}

// Guards against a false refusal when the service is away after a write of unknown outcome.
func TestUnresolvedWriteIsUnknownOutcome(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.kv.nextCommit(func(context.Context, backing.Txn) (backing.CommitResult, error) {
			r.kv.down.Store(true)
			return backing.CommitResult{}, backing.ErrUnknownOutcome.New("stalled")
		})
		start := time.Now()
		_, err := r.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.Assert(t, backing.ErrUnknownOutcome.Has(err), "%v", err)
		assert.Equal(t, time.Since(start), changeTimeout)
	})
}

// Guards against an outage that is reported as an unknown outcome although nothing was written.
func TestOutageBeforeWriteIsUnavailable(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.kv.down.Store(true)
		_, err := r.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.Assert(t, backing.ErrUnavailable.Has(err) && !backing.ErrUnknownOutcome.Has(err), "%v", err)
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = r.changer.Change(cancelled, putWest("op", 0, "a"))
		assert.Assert(t, err != nil)
		synctest.Wait()
		assert.Equal(t, r.keeper.Current().Load().Revision(), int64(0))
	})
}

// Guards against an operation id that is applied twice, and against one that answers for a different change.
func TestOperationIsAppliedOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		first, err := r.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		_, err = r.changer.Change(t.Context(), putWest("other", 1, "b"))
		assert.NilError(t, err)
		again, err := r.changer.Change(t.Context(), putWest("op", 0, "a"))
		assert.NilError(t, err)
		assert.Equal(t, again.Revision, first.Revision)
		assert.Equal(t, again.Object.DataCentre.Region, "a")
		_, err = r.changer.Change(t.Context(), putWest("op", 2, "c"))
		var reused *config.OperationReusedError
		assert.Assert(t, errors.As(err, &reused), "%v", err)
		assert.Equal(t, r.keeper.Current().Load().DataCentre("west").Region, "b")
	})
}

// Guards against changes on top of a key-value service that was restored to an older state, which would bring an accepted
// change to nothing, and against a node that follows such a state.
func TestRestoredServiceIsNeitherFollowedNorChanged(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.mustChange(t, 3)
		old, err := r.kv.KV.Get(t.Context(), headKey)
		assert.NilError(t, err)
		_, err = r.kv.KV.Commit(t.Context(), backing.Txn{Writes: []backing.Write{
			{Key: headKey, Value: []byte(strings.Replace(string(old.Value), "3", "2", 1))},
		}})
		assert.NilError(t, err)
		_, err = r.changer.Change(t.Context(), putWest("op", config.AnyRevision, "z"))
		var restored *config.RestoredError
		assert.Assert(t, errors.As(err, &restored), "%v", err)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); r.watcher.Run(ctx) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		assert.Equal(t, r.keeper.Current().Load().Revision(), int64(3))
		reports := r.logs.FilterMessage("configuration restored to an older state, not followed")
		assert.Equal(t, reports.Len(), 1)
	})
}

// Guards against a change that is reported as an unknown outcome although it only waited behind another one.
func TestWaitingChangeIsUnavailable(t *testing.T) {
	inBubble(t, func(t *testing.T, r *rig) {
		r.kv.nextCommit(func(ctx context.Context, _ backing.Txn) (backing.CommitResult, error) {
			<-ctx.Done()
			return backing.CommitResult{}, backing.ErrUnknownOutcome.New("stalled")
		})
		first := make(chan error, 1)
		go func() {
			_, err := r.changer.Change(t.Context(), putWest("first", 0, "a"))
			first <- err
		}()
		synctest.Wait()
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := r.changer.Change(short, putWest("second", 0, "b"))
		assert.Assert(t, backing.ErrUnavailable.Has(err) && !backing.ErrUnknownOutcome.Has(err), "%v", err)
		assert.Assert(t, backing.ErrUnknownOutcome.Has(<-first))
		synctest.Wait()
		op, err := r.changer.store.operation(t.Context(), "second")
		assert.NilError(t, err)
		assert.Equal(t, op.Revision, int64(0))
	})
}
