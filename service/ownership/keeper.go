// Package ownership holds this node's lease and the cells and claim shards that the node owns.
package ownership

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/ownership"
	"azuredyke.dev/azuredyke/platform"
)

// Error is the class of the errors of this package.
var Error = errs.Class("ownership")

// leaseMargin is subtracted from the lease's time to live, for clocks that run at slightly different rates.
const leaseMargin = time.Second

// Keeper is the task that renews the node's lease and acquires resources that have no owner.
type Keeper struct {
	log     *zap.Logger
	kv      platform.KV
	options Options
	config  *latest.Value[*config.Snapshot]
	current *latest.Value[ownership.Holdings]

	lease platform.LeaseID
	// confirmedAt is the time before the last renewal that succeeded was sent.
	confirmedAt time.Time
}

// NewKeeper returns a Keeper that owns nothing.
func NewKeeper(log *zap.Logger, kv platform.KV, options Options, current *latest.Value[*config.Snapshot]) *Keeper {
	return &Keeper{
		log: log, kv: kv, options: options, config: current, current: latest.New(ownership.Holdings{}),
	}
}

// Current holds what the node owns.
func (k *Keeper) Current() *latest.Value[ownership.Holdings] { return k.current }

// Run renews and acquires until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(k.options.RenewInterval)
	defer ticker.Stop()
	for {
		snapshot, changed := k.config.Watch()
		if err := k.step(ctx, snapshot); err != nil {
			k.log.Warn("ownership not renewed", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// step renews the lease and acquires what is wanted and free.
func (k *Keeper) step(ctx context.Context, snapshot *config.Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, k.options.CallTimeout)
	defer cancel()
	if err := k.renew(ctx); err != nil {
		return err
	}
	held := maps.Clone(k.current.Load().ByResource)
	if held == nil {
		held = map[string]ownership.Hold{}
	}
	for _, resource := range ownership.Wanted(snapshot) {
		if _, ok := held[resource]; ok {
			continue
		}
		hold, ok, err := k.acquire(ctx, resource)
		if err != nil {
			return err
		}
		if ok {
			held[resource] = hold
		}
	}
	k.current.Publish(ownership.Holdings{ByResource: held, ValidUntil: k.validUntil()})
	return nil
}

func (k *Keeper) validUntil() time.Time {
	return k.confirmedAt.Add(k.options.LeaseTTL - leaseMargin)
}

// renew extends the lease or starts a new one.
func (k *Keeper) renew(ctx context.Context) error {
	before := time.Now()
	if k.lease == 0 {
		lease, err := k.kv.GrantLease(ctx, k.options.LeaseTTL)
		if err != nil {
			return Error.Wrap(err)
		}
		k.lease = lease
		k.confirmedAt = before
		return nil
	}
	if err := k.kv.RenewLease(ctx, k.lease); err != nil {
		if platform.ErrLeaseNotFound.Has(err) {
			k.lease = 0
			k.current.Publish(ownership.Holdings{})
		}
		return Error.Wrap(err)
	}
	k.confirmedAt = before
	return nil
}

// acquire takes a resource that has no owner.
func (k *Keeper) acquire(ctx context.Context, resource string) (ownership.Hold, bool, error) {
	owner, err := k.kv.Get(ctx, ownerKey(resource))
	if err != nil || owner.ModRevision != 0 {
		return ownership.Hold{}, false, Error.Wrap(err)
	}
	counter, err := k.kv.Get(ctx, fenceKey(resource))
	if err != nil {
		return ownership.Hold{}, false, Error.Wrap(err)
	}
	var fence uint64
	if counter.ModRevision != 0 {
		if err := json.Unmarshal(counter.Value, &fence); err != nil {
			return ownership.Hold{}, false, Error.Wrap(err)
		}
	}
	fence++
	record, err := json.Marshal(message.Holding{
		Resource: resource, Node: k.options.NodeID, Address: k.options.Address, Fence: fence,
	})
	if err != nil {
		return ownership.Hold{}, false, Error.Wrap(err)
	}
	next, err := json.Marshal(fence)
	if err != nil {
		return ownership.Hold{}, false, Error.Wrap(err)
	}
	result, err := k.kv.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{
			{Key: ownerKey(resource)}, {Key: fenceKey(resource), ModRevision: counter.ModRevision},
		},
		Writes: []platform.Write{
			{Key: ownerKey(resource), Value: record, Lease: k.lease}, {Key: fenceKey(resource), Value: next},
		},
	})
	if err != nil || !result.Committed {
		return ownership.Hold{}, false, Error.Wrap(err)
	}
	k.log.Info("resource acquired", zap.String("resource", resource), zap.Uint64("fence", fence))
	return ownership.Hold{Fence: fence, ActiveFrom: time.Now().Add(k.options.StartWithin)}, true, nil
}

func ownerKey(resource string) string { return "own/" + resource }

func fenceKey(resource string) string { return "fence/" + resource }
