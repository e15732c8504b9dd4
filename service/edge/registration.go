package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/pause"
)

const (
	// registrationTTL is how long a dead node stays listed. Until then, the other nodes only send it messages that are lost.
	registrationTTL = time.Minute
	// renewInterval allows for two failed renewals within registrationTTL.
	renewInterval = 20 * time.Second
	// ownEntryWait bounds the wait for the first read of the store, which shows whether an earlier process has left an entry.
	ownEntryWait = 2 * time.Second
	// initialRegistrationBackoff and maxRegistrationBackoff bound the wait after a failed call, which doubles with each
	// consecutive failure. Refused calls are charged, and the entry outlasts several waits.
	initialRegistrationBackoff = time.Second
	maxRegistrationBackoff     = 8 * time.Second
	// replacementSpacing is the mean time between the replacements of lost entries in the fleet. Each takes two writes, so a fleet makes at
	// most 400 writes a second, which is what the store permits.
	replacementSpacing = 5 * time.Millisecond
)

// registration is the task that keeps the node's own entry in the store.
type registration struct {
	log     *zap.Logger
	store   Store
	member  Member
	cluster *latest.Value[*clusterState]

	// lease is the lease of the entry; 0 if there is none.
	lease backing.LeaseID
	// written is a revision at which the store had the entry; 0 if it is unknown.
	written int64
	// lossBackoff is the additional wait before the next replacement of a lost entry. It grows while the entry is lost again and again.
	lossBackoff time.Duration
}

// run writes the entry under a lease and renews the lease until ctx ends. If the entry of an earlier process is still there, run
// renews its lease, so that a fleet that restarts at once does not write all entries again. If the store has lost the entry, or has another
// one in its place, run writes it again.
func (r *registration) run(ctx context.Context) {
	r.awaitOwnLease(ctx)
	if r.lease != 0 {
		r.log.Info("entry of an earlier process found; renewing its lease", zap.Int64("lease", int64(r.lease)))
	}
	backoff := initialRegistrationBackoff
	for {
		interval := renewInterval
		if err := r.keep(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("registration in the store failed; retrying", zap.Int64("lease", int64(r.lease)), logging.Cause(err))
			interval, backoff = backoff, min(maxRegistrationBackoff, 2*backoff)
		} else {
			backoff = initialRegistrationBackoff
		}
		if !r.awaitRenewal(ctx, interval) {
			return
		}
	}
}

// keep renews the lease of the entry, or writes the entry if it has none.
func (r *registration) keep(ctx context.Context) error {
	if r.lease != 0 {
		if err := r.renew(ctx); !backing.ErrLeaseNotFound.Has(err) {
			return err
		}
		// The other nodes soon drop a node whose entry has lapsed.
	}
	return r.register(ctx)
}

// awaitRenewal waits until the lease must be renewed, or until the store has lost the entry, and reports whether ctx is still valid.
func (r *registration) awaitRenewal(ctx context.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		state, changed := r.cluster.Watch()
		if r.isLost(state) {
			return r.prepareReplacement(ctx, state)
		}
		select {
		case <-changed:
		case <-timer.C:
			r.lossBackoff = 0
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// isLost reports whether the store has no entry of this node under its lease, although it had one. That is so after the store was restored
// from an older copy, and after a write of an earlier call that the store executed late.
func (r *registration) isLost(state *clusterState) bool {
	return r.lease != 0 && r.written > 0 && state.Revision >= r.written && state.OwnLease != r.lease
}

// prepareReplacement waits until the entry may be written again. Many nodes lose their entries at once, and the store bounds the writes of
// all of them together.
func (r *registration) prepareReplacement(ctx context.Context, state *clusterState) bool {
	delay := rand.N(time.Duration(len(state.Nodes)+1)*replacementSpacing) + r.lossBackoff
	r.log.Warn("the store has lost the entry of this node; writing it again", zap.Int64("lease", int64(r.lease)),
		zap.Int64("listed_lease", int64(state.OwnLease)), revisionField(state.Revision), zap.Duration("delay", delay))
	r.lease, r.written = 0, 0
	r.lossBackoff = min(maxRegistrationBackoff, max(initialRegistrationBackoff, 2*r.lossBackoff))
	return pause.Sleep(ctx, delay)
}

// awaitOwnLease waits for the first read of the store and takes over the lease of this node's entry, unless there is none or the entry
// differs from the present one.
func (r *registration) awaitOwnLease(ctx context.Context) {
	timer := time.NewTimer(ownEntryWait)
	defer timer.Stop()
	for {
		state, changed := r.cluster.Watch()
		if state.Revision > 0 {
			r.lease, r.written = state.OwnLease, state.Revision
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// register writes the entry under a new lease. A write whose outcome is unknown is repeated under another lease, which
// replaces the first.
func (r *registration) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	r.lease = 0
	lease, err := r.store.GrantLease(ctx, registrationTTL)
	if err != nil {
		return err
	}
	result, err := r.store.Commit(ctx, backing.Txn{
		Writes: []backing.Write{{Key: memberPrefix + r.member.ID, Value: r.member.encode(), Lease: lease}},
	})
	if err != nil {
		return err
	}
	r.lease, r.written = lease, result.Revision
	r.log.Info("registered", zap.Int64("lease", int64(lease)), zap.String("address", r.member.Address))
	return nil
}

func (r *registration) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.store.RenewLease(ctx, r.lease)
}
