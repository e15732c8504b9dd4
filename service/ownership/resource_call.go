package ownership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/ownership"
)

// resourceCall is the state of the calls about one resource. At most one call about a resource is in flight.
type resourceCall struct {
	running   bool
	failures  int
	notBefore time.Time
	// verifyNeeded is set when the watch reported an owner record of this node for a resource that the node does not hold.
	verifyNeeded bool
}

// resourceCallMessage is the result of a call about one resource.
type resourceCallMessage struct {
	resource string
	lease    backing.LeaseID
	result   ownerResult
	err      error
}

// resourceCall returns the state of the calls about a resource, and creates it if there is none.
func (m *Manager) resourceCall(resource string) *resourceCall {
	call, ok := m.resourceCalls[resource]
	if !ok {
		call = &resourceCall{}
		m.resourceCalls[resource] = call
	}
	return call
}

// startResourceCall starts a call about a resource and reports whether it did. It starts no call while one about the
// resource is in flight, before the retry time of a failed call, or while maxResourceCalls are in flight.
func (m *Manager) startResourceCall(
	ctx context.Context, resource string, now time.Time, f func(ctx context.Context, w ownerWriter) (ownerResult, error),
) bool {
	call := m.resourceCall(resource)
	if call.running || now.Before(call.notBefore) || m.runningCalls() >= maxResourceCalls {
		return false
	}
	call.running, call.verifyNeeded = true, false
	w := ownerWriter{kv: m.kv, node: m.options.NodeID, address: m.options.Address, resource: resource, lease: m.lease.id}
	m.startCall(ctx, func(ctx context.Context) taskMessage {
		result, err := f(ctx, w)
		return resourceCallMessage{resource: resource, lease: w.lease, result: result, err: err}
	})
	return true
}

func (m *Manager) runningCalls() int {
	n := 0
	for _, call := range m.resourceCalls {
		if call.running {
			n++
		}
	}
	return n
}

func (m resourceCallMessage) apply(_ context.Context, manager *Manager) {
	now := time.Now()
	call := manager.resourceCall(m.resource)
	call.running = false
	if m.err != nil {
		call.failures++
		call.notBefore = now.Add(retryDelay(call.failures, manager.options.RenewInterval))
		if backing.ErrLeaseNotFound.Has(m.err) {
			// The next renewal determines whether the lease is lost.
			manager.lease.nextCall = now
		}
		manager.log.Warn("failed to update owner record; retrying", zap.String("resource", m.resource), zap.Error(m.err))
		if o, ok := manager.owners[m.resource]; ok {
			manager.handleOwnerRecord(o)
		}
		return
	}
	delete(manager.resourceCalls, m.resource)
	if m.result.owned && m.lease == manager.lease.id {
		manager.handleOwned(m.resource, m.result, now)
		return
	}
	if h, ok := manager.held[m.resource]; ok && (h.drained || !m.result.owned && h.Fence <= m.result.fence) {
		manager.dropResource(m.resource, m.result.reason)
	}
	if !m.result.owned {
		// The watch may lag behind. Without this delay, the node would retry a lost acquisition until the watch catches up.
		manager.resourceCall(m.resource).notBefore = now.Add(candidateDelay)
	}
}

// handleOwned updates the holdings after a call has shown that the owner record belongs to this node's lease.
func (m *Manager) handleOwned(resource string, r ownerResult, now time.Time) {
	h, ok := m.held[resource]
	switch {
	case ok && h.Fence == r.fence:
		h.Revision, h.recordMissing = max(h.Revision, r.revision), false
	case m.highestFence[resource] > r.fence || m.retired[resource] || m.stopping:
		// The record must be deleted, since no node acquires the resource while the record exists.
		m.held[resource] = &heldResource{Hold: ownership.Hold{Fence: r.fence, Revision: r.revision, Releasing: true}, drained: true}
	default:
		if ok {
			h.notifyReleased()
		}
		m.held[resource] = &heldResource{Hold: ownership.Hold{
			Fence: r.fence, Revision: r.revision, ActiveFrom: now.Add(m.options.StartWithin),
		}}
		m.log.Info("resource acquired", zap.String("resource", resource), zap.Uint64("fence", r.fence))
	}
	m.publish()
}
