// Package ownership maintains the lease of this node, and acquires and releases cells and claim shards under that lease.
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
	// leaseMargin is subtracted from the time to live of the lease, since clocks run at slightly different rates.
	leaseMargin = time.Second
	// candidateDelay is multiplied with the rank of a candidate to get the delay before it acquires a resource, so that
	// the candidates do not try at the same time.
	candidateDelay = 500 * time.Millisecond
	// mailboxCapacity is the number of messages that the mailbox holds; senders wait while it is full.
	mailboxCapacity = 256
	// maxResourceCalls bounds the concurrent calls about single resources.
	maxResourceCalls = 8
	// idleInterval is the longest interval between two checks for due calls.
	idleInterval = 10 * time.Second
	// handOverInterval is the shortest interval between two hand-overs that balance the nodes.
	handOverInterval = 10 * time.Second
)

// Manager is the task that renews the lease of the node and acquires resources without an owner. Its calls to the
// key-value service run in goroutines that send their results back, so a slow call does not delay other messages.
type Manager struct {
	log      *zap.Logger
	kv       backing.KV
	options  Options
	config   *latest.Value[*config.Snapshot]
	members  *latest.Value[[]string]
	current  *latest.Value[ownership.Holdings]
	messages mailbox.Mailbox[taskMessage]
	calls    sync.WaitGroup

	lease lease
	held  map[string]*heldResource
	// owners holds the watched owner records by resource; it is nil until they have been read.
	owners map[string]ownerRecord
	// ownerlessSince is the time at which each resource without an owner record was first seen without one.
	ownerlessSince map[string]time.Time
	// highestFence is the highest fence seen for each resource.
	highestFence map[string]uint64
	// resourceCalls holds the state of the calls about single resources.
	resourceCalls map[string]*resourceCall
	// retired holds the resources for which Release was called; they are not acquired again.
	retired map[string]bool
	// stopping is set when Release was called for all resources; nothing is acquired any more.
	stopping       bool
	candidates     []string
	candidateSince map[string]time.Time
	handedOverAt   time.Time
	stopWatch      context.CancelFunc
}

// taskMessage is a message to the task of a Manager.
type taskMessage interface {
	apply(ctx context.Context, manager *Manager)
}

// NewManager returns a Manager that owns nothing. The current value is the configuration in force.
func NewManager(log *zap.Logger, kv backing.KV, options Options, current *latest.Value[*config.Snapshot]) *Manager {
	members := options.Members
	if members == nil {
		members = latest.New([]string{options.NodeID})
	}
	return &Manager{
		log: log, kv: kv, options: options, config: current, members: members,
		current: latest.New(ownership.Holdings{}), messages: mailbox.New[taskMessage](mailboxCapacity),
		held: map[string]*heldResource{}, ownerlessSince: map[string]time.Time{}, highestFence: map[string]uint64{},
		resourceCalls: map[string]*resourceCall{}, retired: map[string]bool{}, candidateSince: map[string]time.Time{},
	}
}

// Current returns the holdings of the node.
func (m *Manager) Current() *latest.Value[ownership.Holdings] { return m.current }

// ObserveFence reports a fence that was seen for a resource. The node releases the resource if its own fence is lower. An
// error means that ctx ended before the report was queued.
func (m *Manager) ObserveFence(ctx context.Context, resource string, fence uint64) error {
	return m.messages.Send(ctx, fenceMessage{resource: resource, fence: fence})
}

// Release releases resources and returns once their owner records are deleted, or with an error when ctx ends first. The
// resources are not acquired again. Without arguments, all resources are released and none is acquired any more.
func (m *Manager) Release(ctx context.Context, resources ...string) error {
	done, err := mailbox.Call(ctx, m.messages, func(reply chan<- (<-chan struct{})) taskMessage {
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

// Run renews the lease and acquires resources until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer m.calls.Wait()
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		snapshot, configChanged := m.config.Watch()
		members, membersChanged := m.members.Watch()
		now := time.Now()
		m.setMembers(members, now)
		wake := m.startDueCalls(ctx, ownership.RequiredResources(snapshot), now)
		timer.Reset(max(time.Millisecond, min(idleInterval, wake.Sub(now))))
		select {
		case <-ctx.Done():
			return
		case msg := <-m.messages.Receive():
			msg.apply(ctx, m)
		case <-timer.C:
		case <-configChanged:
		case <-membersChanged:
		}
	}
}

// publish updates the value that Current returns.
func (m *Manager) publish() {
	h := ownership.Holdings{ByResource: make(map[string]ownership.Hold, len(m.held)), ValidUntil: m.validUntil()}
	for resource, held := range m.held {
		if !held.drained {
			h.ByResource[resource] = held.Hold
		}
	}
	m.current.Publish(h)
}

// validUntil returns the time until which the holdings are confirmed. It is the zero time without a lease, and while an
// owner record is missing, since another node may then acquire the resource.
func (m *Manager) validUntil() time.Time {
	for _, h := range m.held {
		if h.recordMissing {
			return time.Time{}
		}
	}
	if m.lease.id == 0 {
		return time.Time{}
	}
	return m.lease.confirmedAt.Add(m.options.LeaseTTL - leaseMargin)
}

// dropResource removes a resource from the holdings because this node's owner record was deleted or replaced.
func (m *Manager) dropResource(resource, reason string) {
	if h, ok := m.held[resource]; ok {
		delete(m.held, resource)
		m.log.Info("resource dropped", zap.String("resource", resource), zap.Uint64("fence", h.Fence), zap.String("reason", reason))
		h.notifyReleased()
		m.publish()
	}
}

// send sends a message from a goroutine of the Manager to its task. The message is discarded when ctx ends.
func (m *Manager) send(ctx context.Context, msg taskMessage) { _ = m.messages.Send(ctx, msg) }

// startCall runs f in a goroutine with CallTimeout and sends the message that f returns to the task.
func (m *Manager) startCall(ctx context.Context, f func(ctx context.Context) taskMessage) {
	m.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
		defer cancel()
		m.send(ctx, f(callCtx))
	})
}
