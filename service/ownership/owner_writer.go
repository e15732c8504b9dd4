package ownership

import (
	"context"
	"encoding/json"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/message"
)

// ownerWriter makes the calls about one owner record under one lease.
type ownerWriter struct {
	kv            backing.KV
	node, address string
	resource      string
	lease         backing.LeaseID
}

// ownerResult says what is known about the record after a call.
type ownerResult struct {
	// owned says that the record is this node's, under the lease of the call.
	owned bool
	// fence is the fence of the record, or the last fence of the resource when the record is not this node's.
	fence    uint64
	revision int64
	reason   string
}

// fence returns the last fence of the resource and the revision of its counter.
func (w ownerWriter) fence(ctx context.Context) (uint64, int64, error) {
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

// acquire writes a record with the next fence, which is higher than all that were seen.
func (w ownerWriter) acquire(ctx context.Context, seen uint64) (ownerResult, error) {
	last, revision, err := w.fence(ctx)
	if err != nil {
		return ownerResult{}, err
	}
	return w.put(ctx, max(last, seen)+1, revision)
}

// restore writes a record again that was deleted with its lease. Nobody has owned the resource in between when the fence
// is unchanged, so the node goes on with the same fence.
func (w ownerWriter) restore(ctx context.Context, fence uint64) (ownerResult, error) {
	last, revision, err := w.fence(ctx)
	if err != nil {
		return ownerResult{}, err
	}
	if last != fence {
		return ownerResult{fence: last, reason: "another node has owned it"}, nil
	}
	return w.put(ctx, fence, revision)
}

// put writes the record if there is none and the fence is unchanged.
func (w ownerWriter) put(ctx context.Context, fence uint64, fenceRevision int64) (ownerResult, error) {
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

// verify reads the record. It is also the way in which a lost answer is resolved.
func (w ownerWriter) verify(ctx context.Context) (ownerResult, error) {
	e, err := w.kv.Get(ctx, OwnerKey(w.resource))
	if err != nil {
		return ownerResult{}, err
	}
	o := ownerOf(e)
	if e.ModRevision == 0 || o.Node != w.node || o.lease != w.lease {
		return ownerResult{fence: o.Fence, reason: "another node owns it"}, nil
	}
	return ownerResult{owned: true, fence: o.Fence, revision: o.revision}, nil
}

// release deletes the record of the given revision.
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
	now, err := w.verify(ctx)
	if err != nil || now.owned {
		return now, err
	}
	return released, nil
}
