package ownership

import (
	"context"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/ownership"
)

// setMembers updates the candidates and the time since which each of them has been a candidate.
func (m *Manager) setMembers(members []string, now time.Time) {
	m.candidates = ownership.Candidates(members)
	since := make(map[string]time.Time, len(m.candidates))
	for _, c := range m.candidates {
		since[c] = now
		if from, ok := m.candidateSince[c]; ok {
			since[c] = from
		}
	}
	m.candidateSince = since
}

// startDueCalls starts the calls that are due and returns the time at which the next one may be due.
func (m *Manager) startDueCalls(ctx context.Context, required []string, now time.Time) time.Time {
	candidate := slices.Contains(m.candidates, m.options.NodeID)
	m.updateWatch(ctx, candidate || len(m.held) > 0)
	wake := now.Add(idleInterval)
	m.releaseUnneeded(ctx, required)
	due := m.resourcesToAcquire(required, candidate, now, &wake)
	needed := len(m.held) > 0 || len(due) > 0 || m.runningCalls() > 0
	capWake(&wake, m.maintainLease(ctx, needed, now))
	if m.lease.id == 0 {
		return wake
	}
	for resource, h := range m.held {
		m.maintainHeld(ctx, resource, h, now, &wake)
	}
	for resource, call := range m.resourceCalls {
		if _, ok := m.held[resource]; call.verifyNeeded && !ok {
			m.startResourceCall(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) { return w.verify(ctx) })
		}
	}
	if now.Before(m.validUntil()) {
		for _, resource := range due {
			seen := m.highestFence[resource]
			m.startResourceCall(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) {
				return w.acquire(ctx, seen)
			})
		}
		m.balance(ctx, required, now, &wake)
	}
	return wake
}

// resourcesToAcquire returns the required resources without an owner that this node should acquire now. It lowers wake to
// the time at which the next one is due.
func (m *Manager) resourcesToAcquire(required []string, candidate bool, now time.Time, wake *time.Time) []string {
	if !candidate || m.owners == nil || m.stopping {
		return nil
	}
	var due []string
	for _, resource := range required {
		_, held := m.held[resource]
		_, owned := m.owners[resource]
		if held || owned || m.retired[resource] {
			continue
		}
		since, ok := m.ownerlessSince[resource]
		if !ok {
			since = now
			m.ownerlessSince[resource] = now
		}
		rank := ownership.Rank(resource, m.options.NodeID, m.candidates)
		from := since.Add(time.Duration(rank) * candidateDelay)
		if call, ok := m.resourceCalls[resource]; ok && !call.running && from.Before(call.notBefore) {
			from = call.notBefore
		}
		if now.Before(from) {
			capWake(wake, from)
			continue
		}
		due = append(due, resource)
	}
	return due
}

// releaseUnneeded releases the cells of services and data centres that were removed from the configuration.
func (m *Manager) releaseUnneeded(ctx context.Context, required []string) {
	for resource := range m.held {
		if !slices.Contains(required, resource) {
			m.beginRelease(ctx, resource)
		}
	}
}

// maintainHeld starts the call that a held resource needs: the deletion of its owner record after a release, or the
// restoration of a missing one.
func (m *Manager) maintainHeld(ctx context.Context, resource string, h *heldResource, now time.Time, wake *time.Time) {
	fence, revision := h.Fence, h.Revision
	switch {
	case h.drained:
		m.startResourceCall(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) {
			return w.release(ctx, fence, revision)
		})
	case h.recordMissing:
		m.startResourceCall(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) {
			return w.restore(ctx, fence)
		})
	default:
		return
	}
	if call := m.resourceCall(resource); !call.running && call.notBefore.After(now) {
		capWake(wake, call.notBefore)
	}
}

// balance starts the hand-over of one resource to its preferred node, at most one per handOverInterval.
func (m *Manager) balance(ctx context.Context, required []string, now time.Time, wake *time.Time) {
	if len(m.held) == 0 || m.options.WaitDrained == nil {
		return
	}
	if next := m.handedOverAt.Add(handOverInterval); now.Before(next) {
		capWake(wake, next)
		return
	}
	var names []string
	for resource, h := range m.held {
		if h.Releasing {
			return
		}
		names = append(names, resource)
	}
	resource := ownership.NextHandOver(m.options.NodeID, names, len(required), m.candidates, m.candidateSince, now)
	if resource != "" {
		m.handedOverAt = now
		m.beginRelease(ctx, resource)
	}
}

// updateWatch starts or stops the watch of owner records.
func (m *Manager) updateWatch(ctx context.Context, needed bool) {
	switch {
	case needed && m.stopWatch == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		m.stopWatch = cancel
		m.calls.Go(func() { m.watchOwners(watchCtx) })
	case !needed && m.stopWatch != nil:
		m.stopWatch()
		m.stopWatch = nil
		m.owners = nil
	}
}

// capWake lowers wake to t if t is earlier.
func capWake(wake *time.Time, t time.Time) {
	if t.Before(*wake) {
		*wake = t
	}
}
