package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/platform"
)

// Error is the class of the errors of this package.
var Error = errs.Class("configuration")

// store reads and writes the configuration in the key-value service.
type store struct {
	kv platform.KV
}

// head is the value of headKey.
type head struct {
	Revision int64
}

// stored is the configuration as the key-value service holds it.
type stored struct {
	snapshot *config.Snapshot
	// headModRevision is the store's revision of headKey, for a compare-and-swap.
	headModRevision int64
	// storeRevision is the revision of the whole store, from which a watch goes on.
	storeRevision int64
}

// load reads the whole configuration. Head and objects come from one read, so they belong together.
func (s store) load(ctx context.Context) (stored, error) {
	result, err := s.kv.Range(ctx, prefix)
	if err != nil {
		return stored{}, err
	}
	var (
		h       head
		out     = stored{storeRevision: result.Revision}
		objects []*config.Object
	)
	for _, e := range result.Entries {
		switch {
		case e.Key == headKey:
			out.headModRevision = e.ModRevision
			if err := json.Unmarshal(e.Value, &h); err != nil {
				return stored{}, Error.New("value of %s: %w", e.Key, err)
			}
		case len(e.Key) > len(objectsPrefix) && e.Key[:len(objectsPrefix)] == objectsPrefix:
			o := &config.Object{}
			if err := json.Unmarshal(e.Value, o); err != nil {
				return stored{}, Error.New("value of %s: %w", e.Key, err)
			}
			objects = append(objects, o)
		}
	}
	out.snapshot = config.NewSnapshot(h.Revision, objects)
	return out, nil
}

// write makes one accepted change. It reports false when the head has moved since it was read.
func (s store) write(ctx context.Context, base stored, next *config.Snapshot, c config.Change, now time.Time) (bool, error) {
	record := newAuditRecord(base.snapshot, next, c, now)
	headValue, err := json.Marshal(head{Revision: next.Revision()})
	if err != nil {
		return false, Error.Wrap(err)
	}
	recordValue, err := json.Marshal(record)
	if err != nil {
		return false, Error.Wrap(err)
	}
	object := platform.Write{Key: objectKey(c.Ref), Delete: true}
	if after := next.Get(c.Ref); after != nil {
		value, err := json.Marshal(after)
		if err != nil {
			return false, Error.Wrap(err)
		}
		object = platform.Write{Key: objectKey(c.Ref), Value: value}
	}
	result, err := s.kv.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{
			{Key: headKey, ModRevision: base.headModRevision},
			{Key: operationKey(c.OperationID)},
		},
		Writes: []platform.Write{
			object,
			{Key: headKey, Value: headValue},
			{Key: auditKey(next.Revision()), Value: recordValue},
			{Key: operationKey(c.OperationID), Value: headValue},
		},
	})
	return result.Committed, err
}

// operation returns the configuration revision that an operation id was accepted at, or 0.
func (s store) operation(ctx context.Context, id string) (int64, error) {
	e, err := s.kv.Get(ctx, operationKey(id))
	if err != nil || e.ModRevision == 0 {
		return 0, err
	}
	var h head
	if err := json.Unmarshal(e.Value, &h); err != nil {
		return 0, Error.New("value of %s: %w", e.Key, err)
	}
	return h.Revision, nil
}

// audit returns all records, oldest first.
func (s store) audit(ctx context.Context) ([]AuditRecord, error) {
	result, err := s.kv.Range(ctx, auditPrefix)
	if err != nil {
		return nil, err
	}
	records := make([]AuditRecord, 0, len(result.Entries))
	for _, e := range result.Entries {
		var r AuditRecord
		if err := json.Unmarshal(e.Value, &r); err != nil {
			return nil, Error.New("value of %s: %w", e.Key, err)
		}
		records = append(records, r)
	}
	return records, nil
}

func newAuditRecord(before, after *config.Snapshot, c config.Change, now time.Time) AuditRecord {
	r := AuditRecord{
		Revision: after.Revision(), Time: now, Actor: c.Actor, Reason: c.Reason, OperationID: c.OperationID,
		Ref: c.Ref, Before: before.Get(c.Ref), After: after.Get(c.Ref), Outcome: OutcomeAccepted, Action: "update",
	}
	switch {
	case r.Before == nil:
		r.Action = "create"
	case r.After == nil:
		r.Action = "delete"
	}
	return r
}
