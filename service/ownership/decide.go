package ownership

import (
	"context"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/ownership"
)

// setMembers notes the candidates and since when each has been one.
func (k *Keeper) setMembers(members []string, now time.Time) {
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

// decide starts the calls that are due and returns when it must be asked again.
func (k *Keeper) decide(ctx context.Context, wanted []string, now time.Time) time.Time {
	candidate := slices.Contains(k.candidates, k.options.NodeID)
	k.keepFollowing(ctx, candidate || len(k.held) > 0)
	wake := now.Add(idleInterval)
	k.releaseUnwanted(ctx, wanted)
	due := k.due(wanted, candidate, now, &wake)
	needed := len(k.held) > 0 || len(due) > 0 || k.running() > 0
	earliest(&wake, k.keepLease(ctx, needed, now))
	if k.lease.id == 0 {
		return wake
	}
	for resource, h := range k.held {
		k.keepHeld(ctx, resource, h, now, &wake)
	}
	for resource, a := range k.attempts {
		if _, ok := k.held[resource]; a.verify && !ok {
			k.start(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) { return w.verify(ctx) })
		}
	}
	if now.Before(k.validUntil()) {
		for _, resource := range due {
			seen := k.highest[resource]
			k.start(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) {
				return w.acquire(ctx, seen)
			})
		}
		k.balance(ctx, wanted, now, &wake)
	}
	return wake
}

// due returns the wanted resources that this node should acquire now.
func (k *Keeper) due(wanted []string, candidate bool, now time.Time, wake *time.Time) []string {
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
		since, ok := k.freeSince[resource]
		if !ok {
			since = now
			k.freeSince[resource] = now
		}
		rank := ownership.Rank(resource, k.options.NodeID, k.candidates)
		from := since.Add(time.Duration(rank) * candidateDelay)
		if a, ok := k.attempts[resource]; ok && !a.busy && from.Before(a.next) {
			from = a.next
		}
		if now.Before(from) {
			earliest(wake, from)
			continue
		}
		due = append(due, resource)
	}
	return due
}

// releaseUnwanted hands back the cells of services and data centres that were removed.
func (k *Keeper) releaseUnwanted(ctx context.Context, wanted []string) {
	for resource := range k.held {
		if !slices.Contains(wanted, resource) {
			k.beginRelease(ctx, resource)
		}
	}
}

// keepHeld starts the call that a held resource needs.
func (k *Keeper) keepHeld(ctx context.Context, resource string, h *held, now time.Time, wake *time.Time) {
	fence, revision := h.Fence, h.Revision
	switch {
	case h.drained:
		k.start(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) {
			return w.release(ctx, fence, revision)
		})
	case h.detached:
		k.start(ctx, resource, now, func(ctx context.Context, w ownerWriter) (ownerResult, error) {
			return w.restore(ctx, fence)
		})
	default:
		return
	}
	if a := k.attempt(resource); !a.busy && a.next.After(now) {
		earliest(wake, a.next)
	}
}

// balance hands over one resource at a time to its preferred node.
func (k *Keeper) balance(ctx context.Context, wanted []string, now time.Time, wake *time.Time) {
	if len(k.held) == 0 || k.options.Drained == nil {
		return
	}
	if next := k.handedOverAt.Add(handOverInterval); now.Before(next) {
		earliest(wake, next)
		return
	}
	var names []string
	for resource, h := range k.held {
		if h.Releasing {
			return
		}
		names = append(names, resource)
	}
	resource := ownership.HandOver(k.options.NodeID, names, len(wanted), k.candidates, k.candidateSince, now)
	if resource != "" {
		k.handedOverAt = now
		k.beginRelease(ctx, resource)
	}
}

// keepFollowing runs the watch of owner records while the node needs it.
func (k *Keeper) keepFollowing(ctx context.Context, needed bool) {
	switch {
	case needed && k.stopFollowing == nil:
		followCtx, cancel := context.WithCancel(ctx)
		k.stopFollowing = cancel
		k.calls.Go(func() { k.follow(followCtx) })
	case !needed && k.stopFollowing != nil:
		k.stopFollowing()
		k.stopFollowing = nil
		k.owners = nil
	}
}

func earliest(wake *time.Time, t time.Time) {
	if t.Before(*wake) {
		*wake = t
	}
}
