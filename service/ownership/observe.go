package ownership

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// fenceMessage reports a fence that was seen for a resource.
type fenceMessage struct {
	resource string
	fence    uint64
}

func (m fenceMessage) apply(_ context.Context, manager *Manager) {
	manager.handleFence(m.resource, m.fence)
}

// handleFence stops the use of a held resource if the fence that was seen is higher than that of the node. The owner
// record is deleted if it still belongs to this node.
func (m *Manager) handleFence(resource string, fence uint64) {
	m.highestFence[resource] = max(m.highestFence[resource], fence)
	if h, ok := m.held[resource]; ok && h.Fence < fence && !h.drained {
		h.Releasing, h.drained = true, true
		m.log.Warn("higher fence seen; releasing the resource", zap.String("resource", resource),
			zap.Uint64("fence", h.Fence), zap.Uint64("seen", fence))
		m.publish()
	}
}

// handleOwnerRecord compares an owner record of the key-value service with the holdings of the node.
func (m *Manager) handleOwnerRecord(o ownerRecord) {
	m.handleFence(o.Resource, o.Fence)
	if !m.isOwnRecord(o) {
		return
	}
	h, ok := m.held[o.Resource]
	switch {
	case !ok:
		// A write whose response was lost may be committed later. The record is read again before the node uses it, since
		// the watch may lag behind a release.
		call := m.resourceCall(o.Resource)
		call.verifyNeeded = true
	case o.Fence == h.Fence && o.revision > h.Revision:
		h.Revision, h.recordMissing = o.revision, false
		m.publish()
	}
}

// handleMissingRecord handles the absence of an owner record at a revision of the key-value service.
func (m *Manager) handleMissingRecord(resource string, revision int64) {
	now := time.Now()
	if _, ok := m.ownerlessSince[resource]; !ok {
		m.ownerlessSince[resource] = now
	}
	h, ok := m.held[resource]
	if !ok || h.Revision > revision || h.recordMissing || h.drained {
		return
	}
	m.log.Warn("owner record is missing; restoring it", zap.String("resource", resource), zap.Uint64("fence", h.Fence))
	h.recordMissing = true
	m.lease.nextCall = now
	m.publish()
}

// isOwnRecord reports whether an owner record belongs to the current lease of this node. A record of an earlier process
// with the same node id belongs to another lease, and its resource is acquired again once that lease has expired.
func (m *Manager) isOwnRecord(o ownerRecord) bool {
	return o.Node == m.options.NodeID && m.lease.id != 0 && o.lease == m.lease.id
}
