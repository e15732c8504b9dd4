package ownership

import (
	"context"
	"encoding/json"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/message"
)

// ownerWriter reads and writes the owner record of one resource under one lease.
type ownerWriter struct {
	kv            backing.KV
	node, address string
	resource      string
	lease         backing.LeaseID
}

// ownerResult is the state of an owner record after a call.
type ownerResult struct {
	// owned is set when the record belongs to this node and to the lease of the call.
	owned bool
	// fence is the fence of the record, or the last known fence of the resource when owned is not set.
	fence    uint64
	revision int64
	// reason is why owned is not set, for the log.
	reason string
}

// readFence returns the last fence of the resource and the revision of the stored fence, which are 0 if none is stored.
func (w ownerWriter) readFence(ctx context.Context) (uint64, int64, error) {
	e, err := w.kv.Get(ctx, fenceKey(w.resource))
	if err != nil || e.ModRevision == 0 {
		return 0, 0, err
	}
	var fence uint64
	if err := json.Unmarshal(e.Value, &fence); err != nil {
		return 0, 0, Error.New("value of %s: %w", e.Key, err)
	}
	return fence, e.ModRevision, nil
}

// acquire writes a record with a new fence, which is higher than the stored fence and the highest fence seen.
func (w ownerWriter) acquire(ctx context.Context, seen uint64) (ownerResult, error) {
	last, revision, err := w.readFence(ctx)
	if err != nil {
		return ownerResult{}, err
	}
	return w.writeRecord(ctx, max(last, seen)+1, revision)
}

// restore writes a record again that was deleted with its lease. The record keeps its fence: as long as the stored fence
// is unchanged, no other node has owned the resource in the meantime.
func (w ownerWriter) restore(ctx context.Context, fence uint64) (ownerResult, error) {
	last, revision, err := w.readFence(ctx)
	if err != nil {
		return ownerResult{}, err
	}
	if last != fence {
		return ownerResult{fence: last, reason: "another node has owned the resource in the meantime"}, nil
	}
	return w.writeRecord(ctx, fence, revision)
}

// writeRecord writes the record and the fence if there is no record and the stored fence is unchanged.
func (w ownerWriter) writeRecord(ctx context.Context, fence uint64, fenceRevision int64) (ownerResult, error) {
	record, err := json.Marshal(message.Holding{Resource: w.resource, Node: w.node, Address: w.address, Fence: fence})
	if err != nil {
		return ownerResult{}, Error.Wrap(err)
	}
	counter, err := json.Marshal(fence)
	if err != nil {
		return ownerResult{}, Error.Wrap(err)
	}
	result, err := w.kv.Commit(ctx, backing.Txn{
		Conditions: []backing.Condition{
			{Key: OwnerKey(w.resource)}, {Key: fenceKey(w.resource), ModRevision: fenceRevision},
		},
		Writes: []backing.Write{
			{Key: OwnerKey(w.resource), Value: record, Lease: w.lease}, {Key: fenceKey(w.resource), Value: counter},
		},
	})
	if err == nil && result.Committed {
		return ownerResult{owned: true, fence: fence, revision: result.Revision}, nil
	}
	if err != nil && !backing.ErrUnknownOutcome.Has(err) {
		return ownerResult{}, err
	}
	return w.verify(ctx)
}

// verify reads the record. It also resolves a write whose outcome is unknown.
func (w ownerWriter) verify(ctx context.Context) (ownerResult, error) {
	e, err := w.kv.Get(ctx, OwnerKey(w.resource))
	if err != nil {
		return ownerResult{}, err
	}
	o := decodeOwnerRecord(e)
	if e.ModRevision == 0 || o.Node != w.node || o.lease != w.lease {
		return ownerResult{fence: o.Fence, reason: "the owner record does not belong to this node's lease"}, nil
	}
	return ownerResult{owned: true, fence: o.Fence, revision: o.revision}, nil
}

// release deletes the record if it has the given revision.
func (w ownerWriter) release(ctx context.Context, fence uint64, revision int64) (ownerResult, error) {
	result, err := w.kv.Commit(ctx, backing.Txn{
		Conditions: []backing.Condition{{Key: OwnerKey(w.resource), ModRevision: revision}},
		Writes:     []backing.Write{{Key: OwnerKey(w.resource), Delete: true}},
	})
	if err != nil && !backing.ErrUnknownOutcome.Has(err) {
		return ownerResult{}, err
	}
	released := ownerResult{fence: fence, reason: "released"}
	if err == nil && result.Committed {
		return released, nil
	}
	current, err := w.verify(ctx)
	if err != nil || current.owned {
		return current, err
	}
	return released, nil
}
