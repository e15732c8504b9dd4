package ownership

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// fenceMessage says that a resource was seen with a fence.
type fenceMessage struct {
	resource string
	fence    uint64
}

func (m fenceMessage) apply(_ context.Context, k *Keeper) { k.sawFence(m.resource, m.fence) }

// sawFence stops acting as the owner of a resource whose fence is lower than one that was seen. The owner record is
// deleted in case it is still this node's.
func (k *Keeper) sawFence(resource string, fence uint64) {
	k.highest[resource] = max(k.highest[resource], fence)
	if h, ok := k.held[resource]; ok && h.Fence < fence && !h.drained {
		h.Releasing, h.drained = true, true
		k.log.Warn("higher fence seen", zap.String("resource", resource), zap.Uint64("fence", h.Fence), zap.Uint64("seen", fence))
		k.publish()
	}
}

// sawOwner compares an owner record of the key-value service with what the node holds.
func (k *Keeper) sawOwner(o owner) {
	k.sawFence(o.Resource, o.Fence)
	if !k.mine(o) {
		return
	}
	h, ok := k.held[o.Resource]
	switch {
	case !ok:
		// A write whose answer was lost may take effect later. The record is read again before the node acts on it, since
		// the watch may lag behind a release.
		a := k.attempt(o.Resource)
		a.verify = true
	case o.Fence == h.Fence && o.revision > h.Revision:
		h.Revision, h.detached = o.revision, false
		k.publish()
	}
}

// sawMissing notes that a resource had no owner record at a revision of the key-value service.
func (k *Keeper) sawMissing(resource string, revision int64) {
	now := time.Now()
	if _, ok := k.freeSince[resource]; !ok {
		k.freeSince[resource] = now
	}
	h, ok := k.held[resource]
	if !ok || h.Revision > revision || h.detached || h.drained {
		return
	}
	k.log.Warn("owner record is missing", zap.String("resource", resource), zap.Uint64("fence", h.Fence))
	h.detached = true
	k.lease.next = now
	k.publish()
}

// mine reports whether a record belongs to the node's present lease. A record of an earlier process with the same node id
// belongs to another lease, and its resource is acquired again once that lease has lapsed.
func (k *Keeper) mine(o owner) bool {
	return o.Node == k.options.NodeID && k.lease.id != 0 && o.lease == k.lease.id
}
