// Package ownership holds this node's lease and the cells and claim shards that the node owns.
package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/ownership"
)

// Error is the class of the errors of this package.
var Error = errs.Class("ownership")

const (
	// leaseMargin is subtracted from the lease's time to live, for clocks that run at slightly different rates.
	leaseMargin = time.Second
	// candidateDelay is the wait of each candidate after the one before it, so that one node tries first.
	candidateDelay = 500 * time.Millisecond
	// keeperCapacity bounds the waiting messages; senders wait beyond it.
	keeperCapacity = 256
	// maxCalls bounds the calls about single resources that run at the same time.
	maxCalls = 8
	// idleInterval is the longest wait between two looks at what is due.
	idleInterval = 10 * time.Second
	// handOverInterval is the shortest time between two resources that are handed over to balance the nodes.
	handOverInterval = 10 * time.Second
)

// Keeper is the task that renews the node's lease and acquires resources that have no owner. Its calls to the key-value
// service run in goroutines that send their results back, so a slow service does not delay what the task learns.
type Keeper struct {
	log      *zap.Logger
	kv       backing.KV
	options  Options
	config   *latest.Value[*config.Snapshot]
	members  *latest.Value[[]string]
	current  *latest.Value[ownership.Holdings]
	messages mailbox.Mailbox[keeperMessage]
	calls    sync.WaitGroup

	lease lease
	held  map[string]*held
	// owners is the watched set of owner records; it is nil until the first read.
	owners map[string]owner
	// freeSince is when each resource without an owner record was first seen without one.
	freeSince map[string]time.Time
	// highest is the highest fence that was reported for a resource.
	highest map[string]uint64
	// attempts holds the state of the calls about single resources.
	attempts map[string]*attempt
	// retired resources are not acquired again; stopping retires all.
	retired        map[string]bool
	stopping       bool
	candidates     []string
	candidateSince map[string]time.Time
	handedOverAt   time.Time
	stopFollowing  context.CancelFunc
}

// keeperMessage is a message to the task.
type keeperMessage interface {
	apply(ctx context.Context, k *Keeper)
}

// NewKeeper returns a Keeper that owns nothing.
func NewKeeper(log *zap.Logger, kv backing.KV, options Options, current *latest.Value[*config.Snapshot]) *Keeper {
	members := options.Members
	if members == nil {
		members = latest.New([]string{options.NodeID})
	}
	return &Keeper{
		log: log, kv: kv, options: options, config: current, members: members,
		current: latest.New(ownership.Holdings{}), messages: mailbox.New[keeperMessage](keeperCapacity),
		held: map[string]*held{}, freeSince: map[string]time.Time{}, highest: map[string]uint64{},
		attempts: map[string]*attempt{}, retired: map[string]bool{}, candidateSince: map[string]time.Time{},
	}
}

// Current holds what the node owns.
func (k *Keeper) Current() *latest.Value[ownership.Holdings] { return k.current }

// HigherFence says that a resource was seen with a fence. The node drops the resource when its own fence is lower.
func (k *Keeper) HigherFence(ctx context.Context, resource string, fence uint64) error {
	return k.messages.Send(ctx, fenceMessage{resource: resource, fence: fence})
}

// Release hands resources over and returns once their owner records are deleted or ctx ends. They are not acquired
// again. Without resources, everything is released and nothing is acquired any more.
func (k *Keeper) Release(ctx context.Context, resources ...string) error {
	done, err := mailbox.Call(ctx, k.messages, func(reply chan<- (<-chan struct{})) keeperMessage {
		return releaseMessage{resources: resources, reply: reply}
	})
	if err != nil {
		return Error.Wrap(err)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Run renews and acquires until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer k.calls.Wait()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		snapshot, configChanged := k.config.Watch()
		members, membersChanged := k.members.Watch()
		now := time.Now()
		k.setMembers(members, now)
		wake := k.decide(ctx, ownership.Wanted(snapshot), now)
		timer.Reset(max(time.Millisecond, min(idleInterval, wake.Sub(now))))
		select {
		case <-ctx.Done():
			return
		case m := <-k.messages.Receive():
			m.apply(ctx, k)
		case <-timer.C:
		case <-configChanged:
		case <-membersChanged:
		}
	}
}

// publish makes the holdings known to readers.
func (k *Keeper) publish() {
	h := ownership.Holdings{ByResource: make(map[string]ownership.Hold, len(k.held)), ValidUntil: k.validUntil()}
	for resource, held := range k.held {
		if !held.drained {
			h.ByResource[resource] = held.Hold
		}
	}
	k.current.Publish(h)
}

// validUntil is the zero time while an owner record is missing, since another node may then acquire the resource.
func (k *Keeper) validUntil() time.Time {
	for _, h := range k.held {
		if h.detached {
			return time.Time{}
		}
	}
	if k.lease.id == 0 {
		return time.Time{}
	}
	return k.lease.confirmedAt.Add(k.options.LeaseTTL - leaseMargin)
}

// drop forgets a resource whose record is not this node's.
func (k *Keeper) drop(resource, reason string) {
	if h, ok := k.held[resource]; ok {
		delete(k.held, resource)
		k.log.Info("resource dropped", zap.String("resource", resource), zap.Uint64("fence", h.Fence), zap.String("reason", reason))
		h.finish()
		k.publish()
	}
}

// send delivers a message of one of the task's own goroutines.
func (k *Keeper) send(ctx context.Context, m keeperMessage) { _ = k.messages.Send(ctx, m) }

// call runs f in a goroutine with the timeout of one call, and sends the message that it returns.
func (k *Keeper) call(ctx context.Context, f func(ctx context.Context) keeperMessage) {
	k.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, k.options.CallTimeout)
		defer cancel()
		k.send(ctx, f(callCtx))
	})
}
