package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/pause"
)

const (
	// registrationTTL is how long a dead node stays listed. Until then, the other nodes only send it messages that are lost.
	registrationTTL = time.Minute
	// renewInterval allows for two failed renewals within registrationTTL.
	renewInterval = 20 * time.Second
	// initialRegistrationBackoff and maxRegistrationBackoff bound the wait after a failed call, which doubles with each
	// consecutive failure. Refused calls are charged, and the entry outlasts several waits.
	initialRegistrationBackoff = time.Second
	maxRegistrationBackoff     = 8 * time.Second
)

// registration is the task that keeps the node's own entry in the store.
type registration struct {
	log    *zap.Logger
	store  Store
	member Member
}

// run writes the entry under a lease and renews the lease until ctx ends.
func (r *registration) run(ctx context.Context) {
	var lease backing.LeaseID
	backoff := initialRegistrationBackoff
	for {
		interval := renewInterval
		var err error
		if lease == 0 {
			lease, err = r.register(ctx)
		} else if err = r.renew(ctx, lease); backing.ErrLeaseNotFound.Has(err) {
			lease = 0
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
