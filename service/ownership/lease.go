package ownership

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
)

// firstRetryDelay is the mean delay after the first failed call; it doubles with each failure up to the renewal interval.
const firstRetryDelay = 250 * time.Millisecond

// lease is the state of the node's lease.
type lease struct {
	id backing.LeaseID
	// confirmedAt is the time just before the last successful grant or renewal was sent.
	confirmedAt time.Time
	// callRunning is set while a call about the lease is in flight.
	callRunning bool
	failures    int
	// nextCall is the time at which the next call is due.
	nextCall time.Time
}

// leaseMessage is the result of a grant, renewal or revocation of the lease.
type leaseMessage struct {
	id     backing.LeaseID
	sentAt time.Time
	err    error
}

// maintainLease starts the grant, renewal or revocation of the lease that is due, and returns the time of the next check.
func (m *Manager) maintainLease(ctx context.Context, needed bool, now time.Time) time.Time {
	l := &m.lease
	if l.callRunning || l.id == 0 && !needed {
		return now.Add(idleInterval)
	}
	if now.Before(l.nextCall) {
		return l.nextCall
	}
	l.callRunning = true
	id := l.id
	if !needed {
		// No resource may be acquired under a lease that is being revoked.
		l.id = 0
	}
	m.startCall(ctx, func(ctx context.Context) taskMessage {
		sentAt := time.Now()
		var err error
		switch {
		case id == 0:
			id, err = m.kv.GrantLease(ctx, m.options.LeaseTTL)
		case needed:
			err = m.kv.RenewLease(ctx, id)
		default:
			// The error is ignored, since a lease that was not revoked expires.
			_ = m.kv.RevokeLease(ctx, id)
			id = 0
		}
		return leaseMessage{id: id, sentAt: sentAt, err: err}
	})
	return now.Add(idleInterval)
}

func (m leaseMessage) apply(_ context.Context, manager *Manager) {
	l := &manager.lease
	l.callRunning = false
	now := time.Now()
	switch {
	case m.err == nil:
		if l.failures > 0 {
			manager.log.Info("lease confirmed again", zap.Int("failures", l.failures))
		}
		l.id, l.confirmedAt, l.failures = m.id, m.sentAt, 0
		l.nextCall = m.sentAt.Add(manager.options.RenewInterval)
	case backing.ErrLeaseNotFound.Has(m.err):
		manager.log.Warn("lease lost; requesting a new one", zap.Error(m.err))
		l.id = 0
		l.nextCall = now
		for _, h := range manager.held {
			h.recordMissing = true
		}
	default:
		l.failures++
		l.nextCall = now.Add(retryDelay(l.failures, manager.options.RenewInterval))
		manager.log.Warn("lease not confirmed", zap.Error(m.err), zap.Int("failures", l.failures))
	}
	manager.publish()
}

// retryDelay returns a random delay between 0.5 and 1.5 times a mean that doubles with each failure, up to longest. The
// random factor keeps the nodes from calling a recovering service all at once.
func retryDelay(failures int, longest time.Duration) time.Duration {
	mean := min(longest, firstRetryDelay<<min(failures-1, 10))
	return mean/2 + rand.N(mean)
}
