package configuration

import (
	"context"
	"encoding/json"
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
)

const (
	// maxAuditRecords limits the audit trail of accepted changes, and with it the stored operation ids.
	maxAuditRecords = 10_000
	// maxTrimmedPerChange limits the old records that one change deletes. It is above 1 so that an overlong trail shrinks.
	maxTrimmedPerChange = 4
	// maxLoadTries limits the reads of a configuration that changes while it is read.
	maxLoadTries = 8
)

// store reads and writes the configuration in the key-value service.
type store struct {
	kv backing.KV
	// auditLimit is the number of audit records of accepted changes that are kept.
	auditLimit int64
}

func newStore(kv backing.KV) store { return store{kv: kv, auditLimit: maxAuditRecords} }

// load reads the whole configuration. The objects and the head are read separately. They are consistent if the head was not
// written after the read of the objects, since every change writes the head.
func (s store) load(ctx context.Context) (storedConfiguration, error) {
	for range maxLoadTries {
		result, err := s.kv.Range(ctx, objectsPrefix)
		if err != nil {
			return storedConfiguration{}, err
		}
		h, err := s.kv.Get(ctx, headKey)
		if err != nil {
			return storedConfiguration{}, err
		}
		if h.ModRevision <= result.Revision {
			return decodeStoredConfiguration(result, h)
		}
	}
	return storedConfiguration{}, backing.ErrUnavailable.New("the configuration changed during each of %d reads", maxLoadTries)
}

func decodeStoredConfiguration(result backing.RangeResult, headEntry backing.Entry) (storedConfiguration, error) {
	h, err := decodeHead(headEntry.Value)
	if err != nil {
		return storedConfiguration{}, err
	}
	objects := make([]*config.Object, 0, len(result.Entries))
	for _, e := range result.Entries {
		o, err := decodeObject(e.Key, e.Value)
		if err != nil {
			return storedConfiguration{}, err
		}
		objects = append(objects, o)
	}
	return storedConfiguration{
		head: h, snapshot: config.NewSnapshot(h.Revision, objects),
		headModRevision: headEntry.ModRevision, storeRevision: result.Revision,
	}, nil
}

// readHead reads only the head.
func (s store) readHead(ctx context.Context) (head, error) {
	e, err := s.kv.Get(ctx, headKey)
	if err != nil {
		return head{}, err
	}
	return decodeHead(e.Value)
}

// write writes one change. It reports false if the head has changed since base was read, or the operation has already been
// applied. After an error that is not definite (see isDefinite), the outcome of the write is unknown.
func (s store) write(
	ctx context.Context, base storedConfiguration, next *config.Snapshot, c config.Change, now time.Time,
) (bool, error) {
	trim, auditFloor, err := s.collectTrimWrites(ctx, base.head, next.Revision())
	if err != nil {
		return false, newUnavailableError(err)
	}
	requestFingerprint, err := fingerprint(c)
	if err != nil {
		return false, newUnavailableError(err)
	}
	object := backing.Write{Key: objectKey(c.Ref), Delete: true}
	if after := next.Get(c.Ref); after != nil {
		if object, err = encodeWrite(objectKey(c.Ref), after); err != nil {
			return false, newUnavailableError(err)
		}
	}
	writes := []backing.Write{object}
	for key, value := range map[string]any{
		headKey:                     head{Revision: next.Revision(), AuditFloor: auditFloor},
		auditKey(next.Revision()):   newAuditRecord(base.snapshot, next, c, now),
		operationKey(c.OperationID): operation{Revision: next.Revision(), Fingerprint: requestFingerprint},
	} {
		w, err := encodeWrite(key, value)
		if err != nil {
			return false, newUnavailableError(err)
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

// collectTrimWrites returns the deletions of old audit records and their operation ids, and the new audit floor.
func (s store) collectTrimWrites(ctx context.Context, h head, next int64) ([]backing.Write, int64, error) {
	floor := max(h.AuditFloor, 1)
	var writes []backing.Write
	for n := 0; n < maxTrimmedPerChange && floor <= next-s.auditLimit; n++ {
		e, err := s.kv.Get(ctx, auditKey(floor))
		if err != nil {
			return nil, 0, err
		}
		if e.ModRevision != 0 {
			writes = append(writes, backing.Write{Key: e.Key, Delete: true})
			if r, err := decodeAuditRecord(e.Key, e.Value); err == nil && r.OperationID != "" {
				writes = append(writes, backing.Write{Key: operationKey(r.OperationID), Delete: true})
			}
		}
		floor++
	}
	return writes, floor, nil
}

// readOperation returns the accepted operation with an id. Its Revision is 0 if there is none.
func (s store) readOperation(ctx context.Context, id string) (operation, error) {
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

// encodeWrite returns a write of value, encoded as JSON.
func encodeWrite(key string, value any) (backing.Write, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return backing.Write{}, Error.Wrap(err)
	}
	return backing.Write{Key: key, Value: text}, nil
}
