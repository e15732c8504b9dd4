package ownership

import (
	"context"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/ownership"
)

// setMembers updates the candidates and the time since which each of them has been a candidate.
func (k *Manager) setMembers(members []string, now time.Time) {
	k.candidates = ownership.Candidates(members)
	since := make(map[string]time.Time, len(k.candidates))
	for _, c := range k.candidates {
		since[c] = now
		if from, ok := k.candidateSince[c]; ok {
			since[c] = from
		}
	}
	k.candidateSince = since
}

// startDueCalls starts the calls that are due and returns the time at which the next one may be due.
func (k *Manager) startDueCalls(ctx context.Context, wanted []string, now time.Time) time.Time {
	candidate := slices.Contains(k.candidates, k.options.NodeID)
	k.updateWatch(ctx, candidate || len(k.held) > 0)
	wake := now.Add(idleInterval)
	k.releaseUnwanted(ctx, wanted)
	due := k.resourcesToAcquire(wanted, candidate, now, &wake)
	needed := len(k.held) > 0 || len(due) > 0 || k.runningCalls() > 0
	capWake(&wake, k.maintainLease(ctx, needed, now))
	if k.lease.id == 0 {
		return wake
	}
	for resource, h := range k.held {
		k.maintainHeld(ctx, resource, h, now, &wake)
	}
	for resource, call := range k.resourceCalls {
		if _, ok := k.held[resource]; call.verifyNeeded && !ok {
			k.startResourceCall(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) { return w.verify(ctx) })
		}
	}
	if now.Before(k.validUntil()) {
		for _, resource := range due {
			seen := k.highestFence[resource]
			k.startResourceCall(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) {
				return w.acquire(ctx, seen)
			})
		}
		k.balance(ctx, wanted, now, &wake)
	}
	return wake
}

// resourcesToAcquire returns the wanted resources without an owner that this node should acquire now. It lowers wake to
// the time at which the next one is due.
func (k *Manager) resourcesToAcquire(wanted []string, candidate bool, now time.Time, wake *time.Time) []string {
	if !candidate || k.owners == nil || k.stopping {
		return nil
	}
	var due []string
	for _, resource := range wanted {
		_, held := k.held[resource]
		_, owned := k.owners[resource]
		if held || owned || k.retired[resource] {
			continue
		}
		since, ok := k.ownerlessSince[resource]
		if !ok {
			since = now
			k.ownerlessSince[resource] = now
		}
		rank := ownership.Rank(resource, k.options.NodeID, k.candidates)
		from := since.Add(time.Duration(rank) * candidateDelay)
		if call, ok := k.resourceCalls[resource]; ok && !call.running && from.Before(call.notBefore) {
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

// releaseUnwanted releases the cells of services and data centres that were removed from the configuration.
func (k *Manager) releaseUnwanted(ctx context.Context, wanted []string) {
	for resource := range k.held {
		if !slices.Contains(wanted, resource) {
			k.beginRelease(ctx, resource)
		}
	}
}

// maintainHeld starts the call that a held resource needs: the deletion of its owner record after a release, or the
// restoration of a missing one.
func (k *Manager) maintainHeld(ctx context.Context, resource string, h *heldResource, now time.Time, wake *time.Time) {
	fence, revision := h.Fence, h.Revision
	switch {
	case h.drained:
		k.startResourceCall(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) {
			return w.release(ctx, fence, revision)
		})
	case h.recordMissing:
		k.startResourceCall(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) {
			return w.restore(ctx, fence)
		})
	default:
		return
	}
	if call := k.resourceCall(resource); !call.running && call.notBefore.After(now) {
		capWake(wake, call.notBefore)
	}
}

// balance starts the hand-over of one resource to its preferred node, at most one per handOverInterval.
func (k *Manager) balance(ctx context.Context, wanted []string, now time.Time, wake *time.Time) {
	if len(k.held) == 0 || k.options.WaitDrained == nil {
		return
	}
	if next := k.handedOverAt.Add(handOverInterval); now.Before(next) {
		capWake(wake, next)
		return
	}
	var names []string
	for resource, h := range k.held {
		if h.Releasing {
			return
		}
		names = append(names, resource)
	}
	resource := ownership.NextHandOver(k.options.NodeID, names, len(wanted), k.candidates, k.candidateSince, now)
	if resource != "" {
		k.handedOverAt = now
		k.beginRelease(ctx, resource)
	}
}

// updateWatch starts or stops the watch of owner records.
func (k *Manager) updateWatch(ctx context.Context, needed bool) {
	switch {
	case needed && k.stopWatch == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		k.stopWatch = cancel
		k.calls.Go(func() { k.watchOwners(watchCtx) })
	case !needed && k.stopWatch != nil:
		k.stopWatch()
		k.stopWatch = nil
		k.owners = nil
	}
}

// capWake lowers wake to t if t is earlier.
func capWake(wake *time.Time, t time.Time) {
	if t.Before(*wake) {
		*wake = t
	}
}
