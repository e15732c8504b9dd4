package ownership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/ownership"
)

// attempt is the state of the calls about one resource, of which one runs at a time.
type attempt struct {
	busy     bool
	failures int
	next     time.Time
	// verify says that an owner record of this node was seen for a resource that it does not hold.
	verify bool
}

// attemptMessage is the result of a call about one resource.
type attemptMessage struct {
	resource string
	lease    backing.LeaseID
	result   ownerResult
	err      error
}

// attempt returns the state of the calls about a resource.
func (k *Keeper) attempt(resource string) *attempt {
	a, ok := k.attempts[resource]
	if !ok {
		a = &attempt{}
		k.attempts[resource] = a
	}
	return a
}

// start runs a call about a resource unless one is running or too recent, and reports whether it was started.
func (k *Keeper) start(ctx context.Context, resource string, now time.Time, f func(ctx context.Context, w ownerWriter) (ownerResult, error)) bool {
	a := k.attempt(resource)
	if a.busy || now.Before(a.next) || k.running() >= maxCalls {
		return false
	}
	a.busy, a.verify = true, false
	w := ownerWriter{kv: k.kv, node: k.options.NodeID, address: k.options.Address, resource: resource, lease: k.lease.id}
	k.call(ctx, func(ctx context.Context) keeperMessage {
		result, err := f(ctx, w)
		return attemptMessage{resource: resource, lease: w.lease, result: result, err: err}
	})
	return true
}

func (k *Keeper) running() int {
	n := 0
	for _, a := range k.attempts {
		if a.busy {
			n++
		}
	}
	return n
}

func (m attemptMessage) apply(_ context.Context, k *Keeper) {
	now := time.Now()
	a := k.attempt(m.resource)
	a.busy = false
	if m.err != nil {
		a.failures++
		a.next = now.Add(retryDelay(a.failures, k.options.RenewInterval))
		if backing.ErrLeaseNotFound.Has(m.err) {
			// The renewal finds out whether the lease is lost.
			k.lease.next = now
		}
		k.log.Warn("owner record not written", zap.String("resource", m.resource), zap.Error(m.err))
		if o, ok := k.owners[m.resource]; ok {
			k.sawOwner(o)
		}
		return
	}
	delete(k.attempts, m.resource)
	if m.result.owned && m.lease == k.lease.id {
		k.owns(m.resource, m.result, now)
		return
	}
	if h, ok := k.held[m.resource]; ok && (h.drained || !m.result.owned && h.Fence <= m.result.fence) {
		k.drop(m.resource, m.result.reason)
	}
	if !m.result.owned {
		// The watch may lag behind; without this wait a lost race would be repeated until it catches up.
		k.attempt(m.resource).next = now.Add(candidateDelay)
	}
}

// owns notes that the owner record is this node's.
func (k *Keeper) owns(resource string, r ownerResult, now time.Time) {
	h, ok := k.held[resource]
	switch {
	case ok && h.Fence == r.fence:
		h.Revision, h.detached = max(h.Revision, r.revision), false
	case k.highest[resource] > r.fence || k.retired[resource] || k.stopping:
		// The record must not stay, since no node acquires the resource while it is there.
		k.held[resource] = &held{Hold: ownership.Hold{Fence: r.fence, Revision: r.revision, Releasing: true}, drained: true}
	default:
		if ok {
			h.finish()
		}
		k.held[resource] = &held{Hold: ownership.Hold{
			Fence: r.fence, Revision: r.revision, ActiveFrom: now.Add(k.options.StartWithin),
		}}
		k.log.Info("resource acquired", zap.String("resource", resource), zap.Uint64("fence", r.fence))
	}
	k.publish()
}
