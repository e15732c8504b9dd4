package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
)

// firstRetry is the mean wait after the first failed call; it doubles up to the renewal interval.
const firstRetry = 250 * time.Millisecond

// lease is the state of the node's lease.
type lease struct {
	id backing.LeaseID
	// confirmedAt is the time before the last successful grant or renewal was sent.
	confirmedAt time.Time
	// busy says that a call about the lease is running.
	busy     bool
	failures int
	// next is when the next call is due.
	next time.Time
}

// leaseMessage is the result of a grant, a renewal or a revocation.
type leaseMessage struct {
	id     backing.LeaseID
	before time.Time
	err    error
}

// keepLease starts the call about the lease that is due, and returns when the next one is.
func (k *Keeper) keepLease(ctx context.Context, needed bool, now time.Time) time.Time {
	l := &k.lease
	if l.busy || l.id == 0 && !needed {
		return now.Add(idleInterval)
	}
	if now.Before(l.next) {
		return l.next
	}
	l.busy = true
	id := l.id
	if !needed {
		// Nothing may be acquired under a lease that is being revoked.
		l.id = 0
	}
	k.call(ctx, func(ctx context.Context) keeperMessage {
		before := time.Now()
		var err error
		switch {
		case id == 0:
			id, err = k.kv.GrantLease(ctx, k.options.LeaseTTL)
		case needed:
			err = k.kv.RenewLease(ctx, id)
		default:
			// A lease that cannot be revoked lapses.
			_ = k.kv.RevokeLease(ctx, id)
			id = 0
		}
		return leaseMessage{id: id, before: before, err: err}
	})
	return now.Add(idleInterval)
}

func (m leaseMessage) apply(_ context.Context, k *Keeper) {
	l := &k.lease
	l.busy = false
	now := time.Now()
	switch {
	case m.err == nil:
		if l.failures > 0 {
			k.log.Info("lease confirmed again", zap.Int("failures", l.failures))
		}
		l.id, l.confirmedAt, l.failures = m.id, m.before, 0
		l.next = m.before.Add(k.options.RenewInterval)
	case backing.ErrLeaseNotFound.Has(m.err):
		k.log.Warn("lease lost", zap.Error(m.err))
		l.id = 0
		l.next = now
		for _, h := range k.held {
			h.detached = true
		}
	default:
		l.failures++
		l.next = now.Add(retryDelay(l.failures, k.options.RenewInterval))
		k.log.Warn("lease not confirmed", zap.Error(m.err), zap.Int("failures", l.failures))
	}
	k.publish()
}

// retryDelay returns a wait drawn from half to one and a half of a mean that doubles with each failure, so that nodes do
// not return to a recovering service all at once.
func retryDelay(failures int, longest time.Duration) time.Duration {
	mean := min(longest, firstRetry<<min(failures-1, 10))
	return mean/2 + rand.N(mean)
}
