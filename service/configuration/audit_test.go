package configuration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

// allRecords selects every record.
var allRecords = AuditQuery{Limit: 100_000}

// Guards against an audit trail or stored operation ids that grow without limit, and against a transaction that the service
// refuses because it deletes too many records.
func TestAuditTrailIsBounded(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.mustChange(t, 30)
		f.changer.store.auditLimit = 10
		for i := range 8 {
			_, err := f.changer.Change(t.Context(), putWest(fmt.Sprint("late-", i), config.AnyRevision, "x"))
			assert.NilError(t, err)
		}
		for _, prefix := range []string{auditPrefix, operationsPrefix} {
			kept, err := f.kv.KV.Range(t.Context(), prefix)
			assert.NilError(t, err)
			assert.Equal(t, len(kept.Entries), 10, prefix)
		}
		records, err := f.changer.Audit(t.Context(), allRecords)
		assert.NilError(t, err)
		assert.Equal(t, len(records), 10)
		assert.Equal(t, records[0].Revision, int64(38))
		assert.Equal(t, records[9].Revision, int64(29))
	})
}

// Guards against a listing that reads the whole audit trail to return a few records.
func TestAuditReadsOnlyThePagesItNeeds(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.mustChange(t, 350)
		f.kv.ranges.Store(0)
		records, err := f.changer.Audit(t.Context(), AuditQuery{Limit: 20})
		assert.NilError(t, err)
		assert.Equal(t, len(records), 20)
		// One page of accepted changes, and the first page of refusals, which is empty.
		assert.Equal(t, f.kv.ranges.Load(), int64(2))
		records, err = f.changer.Audit(t.Context(), allRecords)
		assert.NilError(t, err)
		assert.Equal(t, len(records), 350)
		for i, record := range records {
			assert.Equal(t, record.Revision, int64(350-i))
		}
	})
}

// Guards against refused changes without an audit record, and against refusal records that grow without limit.
func TestRefusalsAreRecordedInBoundedKeys(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.mustChange(t, 1)
		time.Sleep(time.Millisecond)
		missing := config.Change{Ref: config.Ref{Kind: config.KindModel, Name: "m"}, OperationID: "n", Reason: "r", Actor: "bob"}
		invalid := putWest("i", config.AnyRevision, strings.Repeat("x", 10_000))
		for _, c := range []config.Change{putWest("c", 7, "x"), missing, invalid, putWest("", 0, "x")} {
			_, err := f.changer.Change(t.Context(), c)
			assert.Assert(t, err != nil)
			time.Sleep(time.Millisecond)
		}
		f.changer.RecordRefusal(putWest("p", 0, "x"), OutcomePermission, "viewer")
		synctest.Wait()
		records, err := f.changer.Audit(t.Context(), allRecords)
		assert.NilError(t, err)
		var outcomes []string
		for _, record := range records {
			outcomes = append(outcomes, record.Outcome)
		}
		assert.DeepEqual(t, outcomes, []string{
			OutcomePermission, OutcomeInvalid, OutcomeInvalid, OutcomeNotFound, OutcomeConflict, OutcomeAccepted,
		})
		for i := range refusedSlots + 50 {
			time.Sleep(time.Millisecond)
			refusal := newRefusalRecord(f.manager.Current().Load(), putWest(fmt.Sprint("f", i), 9, "x"), OutcomeConflict, "", time.Now())
			assert.NilError(t, f.changer.store.recordRefusal(t.Context(), refusal))
		}
		kept, err := f.kv.KV.Range(t.Context(), refusedPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(kept.Entries), refusedSlots)
		newest, err := f.changer.Audit(t.Context(), AuditQuery{Limit: 60})
		assert.NilError(t, err)
		for i, record := range newest {
			assert.Equal(t, record.OperationID, fmt.Sprint("f", refusedSlots+49-i))
		}
	})
}

// Guards against an answer to a refused change that waits until the key-value service has recorded the refusal.
func TestRefusalIsNotDelayedByOutage(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.mustChange(t, 1)
		f.kv.nextCommit(func(ctx context.Context, _ backing.Txn) (backing.CommitResult, error) {
			<-ctx.Done()
			return backing.CommitResult{}, backing.ErrUnavailable.New("stalled")
		})
		start := time.Now()
		for range 3 * recorderCapacity {
			_, err := f.changer.Change(t.Context(), putWest("c", 7, "x"))
			assert.Assert(t, err != nil)
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// Guards against a secret key in the audit trail, an error or a log line after an operator enters the key instead of its
// hash.
func TestKeyGivenAsHashIsNotRecorded(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		const key = "ak-very-secret-key"
		ref := config.Ref{Kind: config.KindWorkspace, Name: "w"}
		_, err := f.changer.Change(t.Context(), config.Change{
			Ref: ref, OperationID: "op", Actor: "ann", Reason: "test",
			Proposed: &config.Object{Ref: ref, Workspace: &config.Workspace{KeyHashes: []string{key}}},
		})
		assert.ErrorContains(t, err, "SHA-256")
		assert.Assert(t, !strings.Contains(err.Error(), key))
		synctest.Wait()
		stored, err := f.kv.KV.Range(t.Context(), "")
		assert.NilError(t, err)
		assert.Assert(t, len(stored.Entries) > 0)
		for _, e := range stored.Entries {
			assert.Assert(t, !strings.Contains(string(e.Value), key), e.Key)
		}
		for _, line := range f.logs.All() {
			assert.Assert(t, !strings.Contains(fmt.Sprint(line), key))
		}
	})
}
