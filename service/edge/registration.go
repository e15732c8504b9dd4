package edge

import (
	"context"
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
)

// registration is the task that keeps the node's own entry in the store.
type registration struct {
	log     *zap.Logger
	store   Store
	member  Member
	cluster *latest.Value[*clusterState]
}

// run writes the entry under a lease and renews the lease until ctx ends. If the entry of an earlier process is still there, run
// renews its lease, so that a fleet that restarts at once does not write all entries again.
func (r *registration) run(ctx context.Context) {
	lease := r.awaitOwnLease(ctx)
	if lease != 0 {
		r.log.Info("entry of an earlier process found; renewing its lease", zap.Int64("lease", int64(lease)))
	}
	backoff := initialRegistrationBackoff
	for {
		interval := renewInterval
		var err error
		if lease == 0 {
			lease, err = r.register(ctx)
		} else if err = r.renew(ctx, lease); backing.ErrLeaseNotFound.Has(err) {
			// The other nodes soon drop a node whose entry has lapsed.
			lease, err = r.register(ctx)
		}
		if err != nil && ctx.Err() == nil {
			r.log.Warn("registration in the store failed; retrying", zap.Int64("lease", int64(lease)), logging.Cause(err))
			interval, backoff = backoff, min(maxRegistrationBackoff, 2*backoff)
		} else {
			backoff = initialRegistrationBackoff
		}
		if !pause.Sleep(ctx, interval) {
			return
		}
	}
}

// awaitOwnLease waits for the first read of the store and returns the lease of this node's entry; 0 if there is none, or if it
// differs from the present one.
func (r *registration) awaitOwnLease(ctx context.Context) backing.LeaseID {
	timer := time.NewTimer(ownEntryWait)
	defer timer.Stop()
	for {
		state, changed := r.cluster.Watch()
		if state.Revision > 0 {
			return state.OwnLease
		}
		select {
		case <-changed:
		case <-timer.C:
			return 0
		case <-ctx.Done():
			return 0
		}
	}
}

// register writes the entry under a new lease. A write whose outcome is unknown is repeated under another lease, which
// replaces the first.
func (r *registration) register(ctx context.Context) (backing.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	lease, err := r.store.GrantLease(ctx, registrationTTL)
	if err != nil {
		return 0, err
	}
	_, err = r.store.Commit(ctx, backing.Txn{
		Writes: []backing.Write{{Key: memberPrefix + r.member.ID, Value: r.member.encode(), Lease: lease}},
	})
	if err != nil {
		return 0, err
	}
	r.log.Info("registered", zap.Int64("lease", int64(lease)), zap.String("address", r.member.Address))
	return lease, nil
}

func (r *registration) renew(ctx context.Context, lease backing.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.store.RenewLease(ctx, lease)
}
