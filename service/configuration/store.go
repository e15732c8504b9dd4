package configuration

import (
	"context"
	"encoding/json"
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

const (
	// maxAuditRecords bounds the audit trail of accepted changes, and with it the operation ids that are remembered.
	maxAuditRecords = 10_000
	// trimBatch bounds the old records that one change deletes. Above 1, a trail that is too long shrinks.
	trimBatch = 4
	// loadTries bounds the reads of a configuration that changes while it is read.
	loadTries = 8
)

// store reads and writes the configuration in the key-value service.
type store struct {
	kv backing.KV
	// auditLimit is the number of audit records that are kept.
	auditLimit int64
}

func newStore(kv backing.KV) store { return store{kv: kv, auditLimit: maxAuditRecords} }

// load reads the whole configuration. Objects and head are two reads; they belong together when the head was not written
// after the objects were read, since every change writes the head.
func (s store) load(ctx context.Context) (stored, error) {
	for range loadTries {
		result, err := s.kv.Range(ctx, objectsPrefix)
		if err != nil {
			return stored{}, err
		}
		h, err := s.kv.Get(ctx, headKey)
		if err != nil {
			return stored{}, err
		}
		if h.ModRevision <= result.Revision {
			return decodeStored(result, h)
		}
	}
	return stored{}, backing.ErrUnavailable.New("the configuration changed during each of %d reads", loadTries)
}

func decodeStored(result backing.RangeResult, headEntry backing.Entry) (stored, error) {
	h, err := decodeHead(headEntry.Value)
	if err != nil {
		return stored{}, err
	}
	objects := make([]*config.Object, 0, len(result.Entries))
	for _, e := range result.Entries {
		o, err := decodeObject(e.Key, e.Value)
		if err != nil {
			return stored{}, err
		}
		objects = append(objects, o)
	}
	return stored{
		head: h, snapshot: config.NewSnapshot(h.Revision, objects),
		headModRevision: headEntry.ModRevision, storeRevision: result.Revision,
	}, nil
}

// readHead reads the head alone.
func (s store) readHead(ctx context.Context) (head, error) {
	e, err := s.kv.Get(ctx, headKey)
	if err != nil {
		return head{}, err
	}
	return decodeHead(e.Value)
}

// write makes one change. It reports false when the head has moved since it was read, or the operation was applied
// already. An error that is not definite leaves the outcome unknown.
func (s store) write(ctx context.Context, base stored, next *config.Snapshot, c config.Change, now time.Time) (bool, error) {
	trim, floor, err := s.trim(ctx, base.head, next.Revision())
	if err != nil {
		return false, unavailable(err)
	}
	print, err := fingerprint(c)
	if err != nil {
		return false, unavailable(err)
	}
	object := backing.Write{Key: objectKey(c.Ref), Delete: true}
	if after := next.Get(c.Ref); after != nil {
		if object, err = put(objectKey(c.Ref), after); err != nil {
			return false, unavailable(err)
		}
	}
	writes := []backing.Write{object}
	for key, value := range map[string]any{
		headKey:                     head{Revision: next.Revision(), AuditFloor: floor},
		auditKey(next.Revision()):   newAuditRecord(base.snapshot, next, c, now),
		operationKey(c.OperationID): operation{Revision: next.Revision(), Fingerprint: print},
	} {
		w, err := put(key, value)
		if err != nil {
			return false, unavailable(err)
		}
		writes = append(writes, w)
	}
	result, err := s.kv.Commit(ctx, backing.Txn{
		Conditions: []backing.Condition{
			{Key: headKey, ModRevision: base.headModRevision},
			{Key: operationKey(c.OperationID)},
		},
		Writes: append(writes, trim...),
	})
	return result.Committed, err
}

// trim returns the deletions of old audit records and their operation ids, and the new floor.
func (s store) trim(ctx context.Context, h head, next int64) ([]backing.Write, int64, error) {
	floor := max(h.AuditFloor, 1)
	var writes []backing.Write
	for n := 0; n < trimBatch && floor <= next-s.auditLimit; n++ {
		e, err := s.kv.Get(ctx, auditKey(floor))
		if err != nil {
			return nil, 0, err
		}
		if e.ModRevision != 0 {
			writes = append(writes, backing.Write{Key: e.Key, Delete: true})
			if r, err := decodeRecord(e.Key, e.Value); err == nil && r.OperationID != "" {
				writes = append(writes, backing.Write{Key: operationKey(r.OperationID), Delete: true})
			}
		}
		floor++
	}
	return writes, floor, nil
}

// operation returns what an operation id was accepted for; its Revision is 0 when it was not.
func (s store) operation(ctx context.Context, id string) (operation, error) {
	e, err := s.kv.Get(ctx, operationKey(id))
	if err != nil || e.ModRevision == 0 {
		return operation{}, err
	}
	var op operation
	if err := json.Unmarshal(e.Value, &op); err != nil {
		return operation{}, Error.New("value of %s: %w", e.Key, err)
	}
	return op, nil
}

// put returns the write of a value in JSON.
func put(key string, value any) (backing.Write, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return backing.Write{}, Error.Wrap(err)
	}
	return backing.Write{Key: key, Value: text}, nil
}
