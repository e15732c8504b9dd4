package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/decision/ownership"
)

// Error is the class of the errors of this package.
var Error = errs.Class("membership")

const (
	// mailboxCapacity is the number of messages that the mailbox holds. When it is full, probes wait until their deadline
	// and pushes are dropped.
	mailboxCapacity = 1024
	// pushFanout is the number of members to which a node pushes an urgent change. Each of them pushes the change again if
	// it is new there, which reaches 1,500 members in about seven steps.
	pushFanout = 3
	// minPushInterval and minPublishInterval are the shortest intervals between two pushes and between two published tables,
	// so that a burst of changes costs one push and one table.
	minPushInterval    = 200 * time.Millisecond
	minPublishInterval = 100 * time.Millisecond
	// helperCount is the number of members that probe a member that did not answer a direct probe.
	helperCount = 2
)

// Agent is the task that maintains the member table.
type Agent struct {
	log       *zap.Logger
	options   Options
	transport Transport
	hosts     *latest.Value[[]message.Host]
	config    *latest.Value[*config.Snapshot]
	holdings  *latest.Value[ownership.Holdings]
	messages  mailbox.Mailbox[taskMessage]
	current   *latest.Value[*membership.Table]

	ctx     context.Context
	view    *membership.View
	running sync.WaitGroup
	// urgent is set while a change is waiting to be pushed, and dirty while a changed table is waiting to be published.
	urgent      bool
	dirty       bool
	nextPush    time.Time
	nextPublish time.Time
}

// NewAgent returns a Task whose table holds only its own node. The current value is the configuration in force.
func NewAgent(log *zap.Logger, o Options, transport Transport, hosts *latest.Value[[]message.Host],
	current *latest.Value[*config.Snapshot], holdings *latest.Value[ownership.Holdings],
) *Agent {
	o = o.withDefaults()
	view := membership.NewView(o.Self, o.Params, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return &Agent{
		log: log, options: o, transport: transport, hosts: hosts, config: current, holdings: holdings,
		messages: mailbox.New[taskMessage](mailboxCapacity), current: latest.New(view.Table()), view: view,
	}
}

// Current returns the member table.
func (t *Agent) Current() *latest.Value[*membership.Table] { return t.current }

// Run probes other members and handles messages until ctx ends.
func (t *Agent) Run(ctx context.Context) {
	t.ctx = ctx
	defer t.running.Wait()
	probe := time.NewTicker(t.options.Interval)
	defer probe.Stop()
	deferred := time.NewTimer(0)
	defer deferred.Stop()
	// The random delay keeps members that start together from probing at the same time.
	first := time.After(rand.N(t.options.Interval))
	for {
		hosts, hostsChanged := t.hosts.Watch()
		snapshot, configChanged := t.config.Watch()
		holdings, holdingsChanged := t.holdings.Watch()
		t.view.SetSeeds(hosts)
		t.urgent = t.view.SetLocal(snapshot.Revision(), holdingList(holdings)) || t.urgent
		if wait, ok := t.flush(time.Now()); ok {
			deferred.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return
		case m := <-t.messages.Receive():
			m.apply(t)
		case <-first:
			probe.Reset(t.options.Interval)
			t.probeNext()
		case <-probe.C:
			t.view.Tick(time.Now())
			t.probeNext()
		case <-deferred.C:
		case <-hostsChanged:
		case <-configChanged:
		case <-holdingsChanged:
		}
	}
}

// flush publishes the table and pushes changes if they are due. It returns the time until the next publication or push,
// and whether one is pending.
func (t *Agent) flush(now time.Time) (time.Duration, bool) {
	t.dirty = t.view.ResetChanged() || t.dirty
	if t.dirty && !now.Before(t.nextPublish) {
		t.dirty, t.nextPublish = false, now.Add(minPublishInterval)
		t.current.Publish(t.view.Table())
	}
	if t.urgent && !now.Before(t.nextPush) {
		t.urgent, t.nextPush = false, now.Add(minPushInterval)
		for _, target := range t.view.RandomMembers(pushFanout) {
			t.transport.Push(target.Address, t.view.Message(target.ID))
		}
	}
	switch {
	case t.dirty && t.urgent:
		return min(t.nextPublish.Sub(now), t.nextPush.Sub(now)), true
	case t.dirty:
		return t.nextPublish.Sub(now), true
	default:
		return t.nextPush.Sub(now), t.urgent
	}
}

// startCall runs f in a goroutine with the context of Run.
func (t *Agent) startCall(f func(ctx context.Context)) {
	t.running.Go(func() { f(t.ctx) })
}
